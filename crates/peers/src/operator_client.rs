//! Asks a scheduler for its membership or for something that the fleet agrees on, as an operator does: blocking, with a bounded
//! number of tries.

use basaltward_membership::{MAX_DATAGRAM_BYTES, MemberId, MemberStatus, StatusRequest, StatusResponse};
use basaltward_permits::{OperatorCommand, OperatorReply, OperatorRequest, OperatorResponse};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// An answer comes within this, or the request is sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// A request for a page of the status goes so often.
const STATUS_TRIES: u32 = 5;
/// A request of what is agreed goes so often: longer than a leader is given to answer.
const PERMIT_TRIES: u32 = 9;

/// Asks for something that the fleet agrees on; the same request again until it is answered, but no longer than the
/// answer would count.
///
/// # Errors
/// Where nobody answers there.
pub fn send_operator_command(of: SocketAddr, want: OperatorCommand) -> Result<OperatorReply> {
    let socket = socket(of)?;
    let tag =
        crc32fast::hash(format!("{:?} {:?}", socket.local_addr()?, std::time::SystemTime::now()).as_bytes());
    let request = OperatorRequest { tag, want }.write();
    for _ in 0..PERMIT_TRIES {
        socket.send(&request)?;
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        while let Ok(length) = socket.recv(&mut bytes) {
            match OperatorResponse::read(&bytes[..length]) {
                Ok(response) if response.tag == tag => return Ok(response.told),
                _ => {}
            }
        }
    }
    Err(Error::new(ErrorKind::TimedOut, "no answer: not a scheduler that takes us for an operator"))
}

/// The whole view: the last page with the entries of all.
///
/// # Errors
/// Where nobody answers there.
pub fn fetch_membership(of: SocketAddr) -> Result<StatusResponse> {
    let socket = socket(of)?;
    let mut all: Vec<MemberStatus> = Vec::new();
    let mut tag = 0;
    loop {
        tag += 1;
        let request = StatusRequest { tag, first: all.len() as MemberId };
        let mut answer = page(&socket, request)?;
        all.append(&mut answer.members);
        if all.len() >= usize::from(answer.size) {
            answer.members = all;
            return Ok(answer);
        }
    }
}

fn socket(of: SocketAddr) -> Result<UdpSocket> {
    let any: SocketAddr = if of.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(any)?;
    socket.connect(of)?;
    socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    Ok(socket)
}

fn page(socket: &UdpSocket, request: StatusRequest) -> Result<StatusResponse> {
    for _ in 0..STATUS_TRIES {
        socket.send(&request.encode())?;
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        // Answers to an earlier request may still come.
        while let Ok(length) = socket.recv(&mut bytes) {
            if let Ok(answer) = StatusResponse::decode(&bytes[..length])
                && answer.tag == request.tag
                && (!answer.members.is_empty() || request.first >= answer.size)
            {
                return Ok(answer);
            }
        }
    }
    Err(Error::new(
        ErrorKind::TimedOut,
        "no answer: not a scheduler that keeps a membership, or it does not take us for an operator",
    ))
}
