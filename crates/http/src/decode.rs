use crate::body::{BodyDecoder, Framing, body_framing};
use crate::head::{self, HeadScanner, Limits, Request, Response};
use crate::{Error, Method, Version};
use bytes::BytesMut;

/// Result of decoding the input received so far.
#[derive(Debug)]
pub enum Decoded<M> {
    /// No complete message yet; more input is needed.
    Incomplete,
    /// The head is complete and the client waits for `100 Continue` before it sends the body. Returned at most once per
    /// message.
    Continue,
    /// A complete message; the input may hold further ones.
    Message(M),
}

/// Incremental decoder of the requests on one connection.
#[derive(Debug)]
pub struct RequestDecoder {
    limits: Limits,
    head_scanner: HeadScanner,
    /// Head of the request whose body is being read.
    partial: Option<(Request, BodyDecoder)>,
}

impl RequestDecoder {
    /// Creates a decoder for a new connection.
    pub fn new(limits: Limits) -> Self {
        Self { limits, head_scanner: HeadScanner::default(), partial: None }
    }

    /// Whether part of a request has been received; `input` is the buffer as the last call of `decode` left it.
    pub fn has_partial_message(&self, input: &BytesMut) -> bool {
        self.partial.is_some() || !input.is_empty()
    }

    /// Whether the head of a request is complete and its body is not.
    pub fn is_reading_body(&self) -> bool {
        self.partial.is_some()
    }

    /// Consumes input up to the end of the next request.
    ///
    /// # Errors
    /// The violation that makes the input invalid; the decoder must not be used after an error.
    pub fn decode(&mut self, input: &mut BytesMut) -> Result<Decoded<Request>, Error> {
        let mut awaits_continue = false;
        if self.partial.is_none() {
            let Some(length) = self.head_scanner.find_end(input, &self.limits)? else {
                return Ok(Decoded::Incomplete);
            };
            self.head_scanner = HeadScanner::default();
            let request = head::parse_request(input.split_to(length).freeze())?;
            let framing = body_framing(request.version, &request.headers)?.unwrap_or(Framing::Length(0));
            let mut expectations = request.headers.all("expect");
            if let Some(expect) = expectations.next().filter(|_| request.version == Version::Http11) {
                awaits_continue =
                    expect.eq_ignore_ascii_case(b"100-continue") && expectations.next().is_none();
                if !awaits_continue {
                    return Err(Error::UnsupportedExpectation);
                }
            }
            drop(expectations);
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
            // A client that has already sent bytes of the body does not wait for `100 Continue`.
            None if awaits_continue && input.is_empty() => Ok(Decoded::Continue),
            None => Ok(Decoded::Incomplete),
        }
    }
}

/// Incremental decoder of the responses on one connection.
#[derive(Debug)]
pub struct ResponseDecoder {
    limits: Limits,
    head_scanner: HeadScanner,
    /// Head of the response whose body is being read.
    partial: Option<(Response, BodyDecoder)>,
    response_started: bool,
}

impl ResponseDecoder {
    /// Creates a decoder for a new connection.
    pub fn new(limits: Limits) -> Self {
        Self { limits, head_scanner: HeadScanner::default(), partial: None, response_started: false }
    }

    /// Whether any byte of the next response has been received.
    pub fn response_started(&self) -> bool {
        self.response_started
    }

    /// Consumes input up to the end of the response to a request with this method. Interim responses (1xx except 101)
    /// are skipped.
    ///
    /// # Errors
    /// The violation that makes the input invalid; the decoder must not be used after an error.
    pub fn decode(&mut self, input: &mut BytesMut, method: Method) -> Result<Decoded<Response>, Error> {
        self.response_started |= !input.is_empty();
        while self.partial.is_none() {
            let Some(length) = self.head_scanner.find_end(input, &self.limits)? else {
                return Ok(Decoded::Incomplete);
            };
            self.head_scanner = HeadScanner::default();
            let response = head::parse_response(input.split_to(length).freeze())?;
            if matches!(response.status, 100 | 102..=199) {
                continue;
            }
            let has_no_body = method == Method::Head || matches!(response.status, 101 | 204 | 304);
            let declared = body_framing(response.version, &response.headers)?;
            let framing =
                if has_no_body { Framing::Length(0) } else { declared.unwrap_or(Framing::UntilClose) };
            let body = BodyDecoder::new(framing, &self.limits)?;
            self.partial = Some((response, body));
        }
        let Some((_, body)) = &mut self.partial else { return Ok(Decoded::Incomplete) };
        match body.decode(input, &self.limits)? {
            Some(bytes) => Ok(self.complete(bytes, false)),
            None => Ok(Decoded::Incomplete),
        }
    }

    /// Handles the end of the connection: returns the response whose body is delimited by it.
    ///
    /// # Errors
    /// [`Error::Truncated`] if the response is incomplete or has not started.
    pub fn finish(&mut self, input: &mut BytesMut) -> Result<Response, Error> {
        let (_, body) = self.partial.as_ref().ok_or(Error::Truncated)?;
        let bytes = body.finish(input)?;
        match self.complete(bytes, true) {
            Decoded::Message(response) => Ok(response),
            _ => Err(Error::Truncated),
        }
    }

    /// Returns the response with its body and resets the decoder for the next one.
    fn complete(&mut self, body: bytes::Bytes, close_delimited: bool) -> Decoded<Response> {
        self.response_started = false;
        match self.partial.take() {
            Some((response, _)) => Decoded::Message(Response { body, close_delimited, ..response }),
            None => Decoded::Incomplete,
        }
    }
}
