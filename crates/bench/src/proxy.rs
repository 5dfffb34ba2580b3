//! A minimal single-threaded reverse proxy on hyper and tokio, as the reference for the gateway.

use http_body_util::combinators::BoxBody;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::error::Error;
use std::net::SocketAddr;
use tokio::net::TcpListener;

type ProxyError = Box<dyn Error + Send + Sync>;

/// Starts the proxy on a thread that runs as long as the process, and returns its address.
///
/// # Errors
/// If the socket can't be opened or the thread can't be started.
pub fn start(to: SocketAddr) -> Result<SocketAddr, Box<dyn Error>> {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    std::thread::Builder::new().name("proxy".into()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        if let Ok(runtime) = runtime {
            // Runs until the process ends.
            let _ = runtime.block_on(serve(listener, to));
        }
    })?;
    Ok(address)
}

async fn serve(listener: std::net::TcpListener, to: SocketAddr) -> Result<(), ProxyError> {
    let listener = TcpListener::from_std(listener)?;
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: Client<_, Incoming> = Client::builder(TokioExecutor::new()).build(connector);
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let client = client.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| forward(client.clone(), to, request));
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await
        });
    }
}

async fn forward(
    client: Client<HttpConnector, Incoming>,
    to: SocketAddr,
    mut request: Request<Incoming>,
) -> Result<Response<BoxBody<Bytes, hyper::Error>>, ProxyError> {
    let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
    *request.uri_mut() =
        Uri::builder().scheme("http").authority(to.to_string()).path_and_query(path).build()?;
    let response = client.request(request).await?;
    Ok(response.map(BoxBody::new))
}
