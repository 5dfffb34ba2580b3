//! Asks a scheduler for its view of the fleet, as an operator.

use basaltward_fleet::{Answer, MOST, Number, Question, Seen};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// An answer comes within this, or the question is asked again, so often.
const WAIT: (Duration, u32) = (Duration::from_millis(300), 5);

/// The whole view: the last page with the entries of all.
///
/// # Errors
/// Where nobody answers there.
pub fn ask_view(of: SocketAddr) -> Result<Answer> {
    let any: SocketAddr = if of.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(any)?;
    socket.connect(of)?;
    socket.set_read_timeout(Some(WAIT.0))?;
    let mut all: Vec<Seen> = Vec::new();
    let mut tag = 0;
    loop {
        tag += 1;
        let question = Question { tag, first: all.len() as Number };
        let mut answer = page(&socket, question)?;
        all.append(&mut answer.entries);
        if all.len() >= usize::from(answer.size) {
            answer.entries = all;
            return Ok(answer);
        }
    }
}

fn page(socket: &UdpSocket, question: Question) -> Result<Answer> {
    for _ in 0..WAIT.1 {
        socket.send(&question.write())?;
        let mut bytes = [0; MOST];
        // Answers to an earlier question may still come.
        while let Ok(length) = socket.recv(&mut bytes) {
            if let Ok(answer) = Answer::read(&bytes[..length])
                && answer.tag == question.tag
                && (!answer.entries.is_empty() || question.first >= answer.size)
            {
                return Ok(answer);
            }
        }
    }
    Err(Error::new(
        ErrorKind::TimedOut,
        "no answer: not a scheduler with a view, or it does not take us for an operator",
    ))
}
