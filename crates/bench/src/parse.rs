//! Decodes a typical event with the HTTP and CloudEvents parsers alone.

use basaltward_cloudevents::from_http;
use basaltward_http::{Decoded, Limits, RequestDecoder};
use bytes::BytesMut;
use std::error::Error;
use std::hint::black_box;

const EVENT: &[u8] = b"POST /functions/parcels HTTP/1.1\r\nHost: gateway.example:8080\r\n\
    User-Agent: notary/2.1\r\nAccept: */*\r\nce-specversion: 1.0\r\nce-id: 4f1c2b7e-9d55\r\n\
    ce-source: /notaries/cusco/17\r\nce-type: org.catastro.render\r\nce-time: 2026-12-01T10:00:00Z\r\n\
    ce-tenant: norte\r\nce-timeoutms: 2500\r\nContent-Type: application/json\r\nContent-Length: 38\r\n\r\n\
    {\"sheet\":\"27-s\",\"zoom\":14,\"layer\":\"p1\"}";

/// Decodes the event `times` times and prints only the count, so that a tool can count instructions.
///
/// # Errors
/// If the event can't be decoded.
pub fn run(times: u64) -> Result<(), Box<dyn Error>> {
    let mut decoder = RequestDecoder::new(Limits::default());
    let mut events = 0;
    for _ in 0..times {
        let mut input = BytesMut::from(EVENT);
        if let Decoded::Message(request) = decoder.decode(&mut input)? {
            black_box(from_http(&request.headers, request.body.clone(), 1)?);
            events += 1;
        }
    }
    println!("{events} events decoded");
    Ok(())
}
