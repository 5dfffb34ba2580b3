use crate::body::{BodyDecoder, Framing, framing};
use crate::head::{self, Limits, Request, Response, Scan};
use crate::{Error, Method, Version};
use bytes::BytesMut;

/// What the bytes so far amount to.
#[derive(Debug)]
pub enum Decoded<M> {
    /// Nothing whole yet.
    More,
    /// The head is there and the peer waits for `100 Continue` before it sends the body. Told once a message.
    Continue,
    /// A whole message; more may follow in the input.
    Message(M),
}

/// Takes requests from a connection's input, one after the other.
#[derive(Debug)]
pub struct RequestDecoder {
    limits: Limits,
    scan: Scan,
    open: Option<(Request, BodyDecoder)>,
}

impl RequestDecoder {
    /// A decoder for a fresh connection.
    pub fn new(limits: Limits) -> Self {
        Self { limits, scan: Scan::default(), open: None }
    }

    /// Whether a message has begun but is not all there, given what is left in the input.
    pub fn within_message(&self, input: &BytesMut) -> bool {
        self.open.is_some() || !input.is_empty()
    }

    /// Whether the head is all there and the body is awaited.
    pub fn within_body(&self) -> bool {
        self.open.is_some()
    }

    /// Takes the next message, as far as it is there.
    ///
    /// # Errors
    /// What makes the bytes unreadable; the decoder must not be used again then.
    pub fn decode(&mut self, input: &mut BytesMut) -> Result<Decoded<Request>, Error> {
        let mut expects = false;
        if self.open.is_none() {
            let Some(length) = self.scan.find(input, &self.limits)? else { return Ok(Decoded::More) };
            self.scan = Scan::default();
            let request = head::request(input.split_to(length).freeze())?;
            let framing = framing(request.version, &request.headers)?.unwrap_or(Framing::Length(0));
            let mut told = request.headers.all("expect");
            if let Some(expect) = told.next().filter(|_| request.version == Version::Http11) {
                expects = expect.eq_ignore_ascii_case(b"100-continue") && told.next().is_none();
                if !expects {
                    return Err(Error::Expectation);
                }
            }
            drop(told);
            if framing == Framing::Length(0) {
                return Ok(Decoded::Message(request));
            }
            let body = BodyDecoder::new(framing, &self.limits)?;
            self.open = Some((request, body));
        }
        let Some((_, body)) = &mut self.open else { return Ok(Decoded::More) };
        match body.decode(input, &self.limits)? {
            Some(bytes) => {
                let Some((mut request, _)) = self.open.take() else { return Ok(Decoded::More) };
                request.body = bytes;
                Ok(Decoded::Message(request))
            }
            // Bytes of the body that came along say that the client did not wait.
            None if expects && input.is_empty() => Ok(Decoded::Continue),
            None => Ok(Decoded::More),
        }
    }
}

/// Takes responses from a connection's input.
#[derive(Debug)]
pub struct ResponseDecoder {
    limits: Limits,
    scan: Scan,
    open: Option<(Response, BodyDecoder)>,
    begun: bool,
}

impl ResponseDecoder {
    /// A decoder for a fresh connection.
    pub fn new(limits: Limits) -> Self {
        Self { limits, scan: Scan::default(), open: None, begun: false }
    }

    /// Whether any byte of the awaited response has come.
    pub fn begun(&self) -> bool {
        self.begun
    }

    /// Takes the response to a request of this method; interim responses (1xx) are passed over.
    ///
    /// # Errors
    /// What makes the bytes unreadable; the decoder must not be used again then.
    pub fn decode(&mut self, input: &mut BytesMut, method: Method) -> Result<Decoded<Response>, Error> {
        self.begun |= !input.is_empty();
        while self.open.is_none() {
            let Some(length) = self.scan.find(input, &self.limits)? else { return Ok(Decoded::More) };
            self.scan = Scan::default();
            let response = head::response(input.split_to(length).freeze())?;
            if matches!(response.status, 100 | 102..=199) {
                continue;
            }
            let bare = method == Method::Head || matches!(response.status, 101 | 204 | 304);
            let told = framing(response.version, &response.headers)?;
            let framing = if bare { Framing::Length(0) } else { told.unwrap_or(Framing::Close) };
            let body = BodyDecoder::new(framing, &self.limits)?;
            self.open = Some((response, body));
        }
        let Some((_, body)) = &mut self.open else { return Ok(Decoded::More) };
        match body.decode(input, &self.limits)? {
            Some(bytes) => Ok(self.whole(bytes, false)),
            None => Ok(Decoded::More),
        }
    }

    /// The connection has ended: the response whose body ran until then, if that is what was open.
    ///
    /// # Errors
    /// [`Error::Truncated`] where a response was cut off or never came.
    pub fn end(&mut self, input: &mut BytesMut) -> Result<Response, Error> {
        let (_, body) = self.open.as_ref().ok_or(Error::Truncated)?;
        let bytes = body.end(input)?;
        match self.whole(bytes, true) {
            Decoded::Message(response) => Ok(response),
            _ => Err(Error::Truncated),
        }
    }

    fn whole(&mut self, bytes: bytes::Bytes, until_close: bool) -> Decoded<Response> {
        self.begun = false;
        match self.open.take() {
            Some((response, _)) => Decoded::Message(Response { body: bytes, until_close, ..response }),
            None => Decoded::More,
        }
    }
}
