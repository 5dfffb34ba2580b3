use crate::body::{BodyDecoder, Framing, framing};
use crate::head::{self, Limits, Request, Response, Scan};
use crate::{Error, Method, Version};
use bytes::BytesMut;

/// What the bytes so far amount to.
#[derive(Debug)]
pub enum Decoded<M> {
    /// Nothing whole yet.
    Incomplete,
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
    partial: Option<(Request, BodyDecoder)>,
}

impl RequestDecoder {
    /// A decoder for a fresh connection.
    pub fn new(limits: Limits) -> Self {
        Self { limits, scan: Scan::default(), partial: None }
    }

    /// Whether a message has response_started but is not all there, given what is left in the input.
    pub fn has_partial_message(&self, input: &BytesMut) -> bool {
        self.partial.is_some() || !input.is_empty()
    }

    /// Whether the head is all there and the body is awaited.
    pub fn is_reading_body(&self) -> bool {
        self.partial.is_some()
    }

    /// Takes the next message, as far as it is there.
    ///
    /// # Errors
    /// What makes the bytes unreadable; the decoder must not be used again then.
    pub fn decode(&mut self, input: &mut BytesMut) -> Result<Decoded<Request>, Error> {
        let mut expects = false;
        if self.partial.is_none() {
            let Some(length) = self.scan.find(input, &self.limits)? else { return Ok(Decoded::Incomplete) };
            self.scan = Scan::default();
            let request = head::request(input.split_to(length).freeze())?;
            let framing = framing(request.version, &request.headers)?.unwrap_or(Framing::Length(0));
            let mut told = request.headers.all("expect");
            if let Some(expect) = told.next().filter(|_| request.version == Version::Http11) {
                expects = expect.eq_ignore_ascii_case(b"100-continue") && told.next().is_none();
                if !expects {
                    return Err(Error::UnsupportedExpectation);
                }
            }
            drop(told);
            if framing == Framing::Length(0) {
                return Ok(Decoded::Message(request));
            }
            let body = BodyDecoder::new(framing, &self.limits)?;
            self.partial = Some((request, body));
        }
        let Some((_, body)) = &mut self.partial else { return Ok(Decoded::Incomplete) };
        match body.decode(input, &self.limits)? {
            Some(bytes) => {
                let Some((mut request, _)) = self.partial.take() else { return Ok(Decoded::Incomplete) };
                request.body = bytes;
                Ok(Decoded::Message(request))
            }
            // Bytes of the body that came along say that the client did not wait.
            None if expects && input.is_empty() => Ok(Decoded::Continue),
            None => Ok(Decoded::Incomplete),
        }
    }
}

/// Takes responses from a connection's input.
#[derive(Debug)]
pub struct ResponseDecoder {
    limits: Limits,
    scan: Scan,
    partial: Option<(Response, BodyDecoder)>,
    response_started: bool,
}

impl ResponseDecoder {
    /// A decoder for a fresh connection.
    pub fn new(limits: Limits) -> Self {
        Self { limits, scan: Scan::default(), partial: None, response_started: false }
    }

    /// Whether any byte of the awaited response has come.
    pub fn response_started(&self) -> bool {
        self.response_started
    }

    /// Takes the response to a request of this method; interim responses (1xx) are passed over.
    ///
    /// # Errors
    /// What makes the bytes unreadable; the decoder must not be used again then.
    pub fn decode(&mut self, input: &mut BytesMut, method: Method) -> Result<Decoded<Response>, Error> {
        self.response_started |= !input.is_empty();
        while self.partial.is_none() {
            let Some(length) = self.scan.find(input, &self.limits)? else { return Ok(Decoded::Incomplete) };
            self.scan = Scan::default();
            let response = head::response(input.split_to(length).freeze())?;
            if matches!(response.status, 100 | 102..=199) {
                continue;
            }
            let bare = method == Method::Head || matches!(response.status, 101 | 204 | 304);
            let told = framing(response.version, &response.headers)?;
            let framing = if bare { Framing::Length(0) } else { told.unwrap_or(Framing::Close) };
            let body = BodyDecoder::new(framing, &self.limits)?;
            self.partial = Some((response, body));
        }
        let Some((_, body)) = &mut self.partial else { return Ok(Decoded::Incomplete) };
        match body.decode(input, &self.limits)? {
            Some(bytes) => Ok(self.complete(bytes, false)),
            None => Ok(Decoded::Incomplete),
        }
    }

    /// The connection has ended: the response whose body ran until then, if that is what was partial.
    ///
    /// # Errors
    /// [`Error::Truncated`] where a response was cut off or never came.
    pub fn finish(&mut self, input: &mut BytesMut) -> Result<Response, Error> {
        let (_, body) = self.partial.as_ref().ok_or(Error::Truncated)?;
        let bytes = body.finish(input)?;
        match self.complete(bytes, true) {
            Decoded::Message(response) => Ok(response),
            _ => Err(Error::Truncated),
        }
    }

    fn complete(&mut self, bytes: bytes::Bytes, close_delimited: bool) -> Decoded<Response> {
        self.response_started = false;
        match self.partial.take() {
            Some((response, _)) => Decoded::Message(Response { body: bytes, close_delimited, ..response }),
            None => Decoded::Incomplete,
        }
    }
}
