//! Operator client: queries a scheduler for its membership or sends it a command about permits. Calls block and retry
//! a bounded number of times.

use basaltward_membership::{MAX_DATAGRAM_BYTES, MemberId, MemberStatus, StatusRequest, StatusResponse};
use basaltward_permits::{OperatorCommand, OperatorReply, OperatorRequest, OperatorResponse};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// A request without an answer is sent again after this time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Attempts to fetch one page of the membership.
const STATUS_TRIES: u32 = 5;
/// Attempts to send an operator command. Together they take 2.7 s, longer than the default lease of 2 s within which a
/// leader has to answer.
const PERMIT_TRIES: u32 = 9;

/// Sends a command about permits to the scheduler at `address`, repeating the same request until it is answered, at
/// most nine times.
///
/// # Errors
/// An I/O error of the socket, or [`ErrorKind::TimedOut`] if there is no answer.
pub fn send_operator_command(address: SocketAddr, command: OperatorCommand) -> Result<OperatorReply> {
    let socket = socket(address)?;
    let tag =
        crc32fast::hash(format!("{:?} {:?}", socket.local_addr()?, std::time::SystemTime::now()).as_bytes());
    let request = OperatorRequest { tag, command }.write();
    for _ in 0..PERMIT_TRIES {
        socket.send(&request)?;
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        while let Ok(length) = socket.recv(&mut bytes) {
            match OperatorResponse::read(&bytes[..length]) {
                Ok(response) if response.tag == tag => return Ok(response.reply),
                _ => {}
            }
        }
    }
    Err(Error::new(
        ErrorKind::TimedOut,
        "no answer: the address is not a scheduler that lists this host as an operator",
    ))
}

/// Fetches the membership of the scheduler at `address`, page by page. The result is the last page with the members
/// of all pages.
///
/// # Errors
/// An I/O error of the socket, or [`ErrorKind::TimedOut`] if there is no answer.
pub fn fetch_membership(address: SocketAddr) -> Result<StatusResponse> {
    let socket = socket(address)?;
    let mut members: Vec<MemberStatus> = Vec::new();
    let mut tag = 0;
    loop {
        tag += 1;
        let request = StatusRequest { tag, first: members.len() as MemberId };
        let mut response = fetch_page(&socket, request)?;
        members.append(&mut response.members);
        if members.len() >= usize::from(response.size) {
            response.members = members;
            return Ok(response);
        }
    }
}

fn socket(address: SocketAddr) -> Result<UdpSocket> {
    let any: SocketAddr = if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(any)?;
    socket.connect(address)?;
    socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    Ok(socket)
}

fn fetch_page(socket: &UdpSocket, request: StatusRequest) -> Result<StatusResponse> {
    for _ in 0..STATUS_TRIES {
        socket.send(&request.encode())?;
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        // Answers to earlier requests may still arrive.
        while let Ok(length) = socket.recv(&mut bytes) {
            if let Ok(response) = StatusResponse::decode(&bytes[..length])
                && response.tag == request.tag
                && (!response.members.is_empty() || request.first >= response.size)
            {
                return Ok(response);
            }
        }
    }
    Err(Error::new(
        ErrorKind::TimedOut,
        "no answer: the address is not a scheduler with a membership, or it does not list this host as an operator",
    ))
}
