//! Callers of one vm that is told to stop while they send.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use super::fleet::Fleet;
use super::support::{Answer, Call};

/// How a caller uses its connections.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Habit {
    /// Keeps one as long as it can.
    Keeps,
    /// Opens one for each request.
    Opens,
    /// Sends the body of each request a moment after its head.
    Pauses,
}

/// A request that was sent whole on an open connection and got no whole answer.
#[derive(Debug)]
#[allow(
    dead_code,
    reason = "the fields are read in the message of a failed check"
)]
pub(crate) struct Cut {
    habit: Habit,
    /// Requests that the connection had carried before.
    carried: u32,
    /// Time between the opening of the connection and its end.
    open_for: Duration,
    since_told: Duration,
}

/// Time that a connection waits in the queue of a listener at most before it is accepted, with the
/// pause of a caller that sends its body late.
const IN_QUEUE: Duration = Duration::from_millis(60);

impl Cut {
    /// Whether the connection may have waited in the queue of the listener as it closed: the vm has
    /// read nothing of it, and a caller may send the request elsewhere.
    pub(crate) fn was_in_queue(&self) -> bool {
        self.carried == 0 && self.open_for < IN_QUEUE
    }
}

/// What the callers of a vm saw.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) answered: usize,
    pub(crate) cut: Vec<Cut>,
}

struct Connection {
    stream: TcpStream,
    opened_at: Instant,
    carried: u32,
}

impl Connection {
    fn open(fleet: &Fleet) -> Option<Self> {
        Some(Self {
            stream: TcpStream::connect(fleet.listen(0).callers).ok()?,
            opened_at: Instant::now(),
            carried: 0,
        })
    }
}

/// Sends requests to vm 0 until it accepts no connection any more.
pub(crate) fn call(
    fleet: &Fleet,
    number: usize,
    habit: Habit,
    told: &AtomicBool,
    told_at: &std::sync::Mutex<Option<Instant>>,
) -> Seen {
    let mut seen = Seen::default();
    let mut kept: Option<Connection> = None;
    for round in 0.. {
        let Some(mut connection) = kept.take().or_else(|| Connection::open(fleet)) else {
            if told.load(Ordering::SeqCst) {
                return seen;
            }
            std::thread::sleep(Duration::from_millis(2));
            continue;
        };
        let id = format!("stop-{number}-{round}");
        let request = Call::post(&format!("/charge/{id}"), "a body of some length").id(&id);
        let bytes = request.bytes();
        let sent = match habit {
            Habit::Pauses => {
                let (head, rest) = bytes.split_at(bytes.len() - 9);
                connection.stream.write_all(head).and_then(|()| {
                    std::thread::sleep(Duration::from_millis(30));
                    connection.stream.write_all(rest)
                })
            }
            Habit::Keeps | Habit::Opens => connection.stream.write_all(&bytes),
        };
        let answer = match sent {
            Ok(()) => Answer::read(&mut connection.stream),
            Err(_) => Answer::default(),
        };
        if answer.is_complete {
            seen.answered += 1;
            connection.carried += 1;
            let closes = answer.head.to_lowercase().contains("connection: close");
            kept = Some(connection).filter(|_| matches!(habit, Habit::Keeps) && !closes);
            continue;
        }
        let told_at = *told_at.lock().expect("no test panicked");
        seen.cut.push(Cut {
            habit,
            carried: connection.carried,
            open_for: connection.opened_at.elapsed(),
            since_told: told_at.map_or(Duration::ZERO, |at| at.elapsed()),
        });
    }
    seen
}
