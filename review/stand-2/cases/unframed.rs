//! ORDER: a stream of a server that crashes is passed on as a complete one.

use std::io::{self, BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

use super::Verdict;
use crate::gateway::{Gateway, connect};
use crate::record::Record;
use crate::store::Store;
use crate::wire::{Connection, Message, listen};

/// Sizes and times of `darn-advice` on the sheet of the Brittany deployment.
const TOKENS: u64 = 91;
const CONFIG: &str = super::overlap::CONFIG;

/// Time in which an engine makes a token.
const TOKEN_TIME: Duration = Duration::from_millis(30);

/// One of this many answers has no length and ends with its connection (`garble`, `unframed`, x 0.05).
const UNFRAMED_PERIOD: usize = 20;

/// Streams that are sent at once.
const STREAMS: u32 = 48;

/// Engines for answers. A quarter of them crashes (`srv_crash`, share 0.25).
const DECODE_ENGINES: u32 = 4;
const PREFILL_ENGINES: u32 = 5;

/// Time after which it crashes; a stream lasts 2.7 s.
const CRASH_AFTER: Duration = Duration::from_millis(1500);

/// An engine in a process of its own.
struct Engine {
    id: String,
    process: Child,
}

impl Drop for Engine {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// What a client got.
struct Got {
    attempt: String,
    status: u16,
    events: u64,
    is_complete: bool,
    signature: String,
}

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.put("op/config", CONFIG);
    let mut engines = Vec::new();
    for number in 1..=DECODE_ENGINES + PREFILL_ENGINES {
        let stage = if number <= DECODE_ENGINES {
            "decode"
        } else {
            "prefill"
        };
        engines.push(start_engine(record, &store, &format!("i-{number}"), stage)?);
    }
    let gateway = Gateway::start("vm-1", store.port)?;
    gateway.wait_ready()?;
    // A machine is in touch after `contact-ms` without trouble.
    std::thread::sleep(Duration::from_millis(3500));
    let got = std::thread::scope(|scope| -> io::Result<Vec<Got>> {
        let mut clients = Vec::new();
        for number in 1..=STREAMS {
            let gateway = &gateway;
            clients.push(scope.spawn(move || read_stream(record, gateway, number)));
        }
        std::thread::sleep(CRASH_AFTER);
        if has_trouble {
            let crashed = &mut engines[0];
            record.line(format!(
                "server {} crashes: its process is killed",
                crashed.id
            ));
            crashed.process.kill()?;
            // The entry runs out after three heartbeats.
            let (store, key) = (store.clone(), format!("servers/{}", crashed.id));
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(3600));
                store.remove(&key);
            });
        }
        let joined = clients.into_iter().map(|client| {
            let joined = client.join();
            joined.unwrap_or_else(|_| Err(io::Error::other("a client failed")))
        });
        joined.collect()
    })?;
    let mut verdict = Verdict::Held;
    for got in &got {
        if got.status == 200 && got.is_complete && got.events < TOKENS {
            verdict = Verdict::Broken;
            record.line(format!(
                "ORDER: {} ended as complete after {} events of {TOKENS}, with the signature {}",
                got.attempt, got.events, got.signature
            ));
        }
    }
    let whole = got
        .iter()
        .filter(|got| got.is_complete && got.events == TOKENS);
    let cut = got
        .iter()
        .filter(|got| got.status == 200 && !got.is_complete);
    record.line(format!(
        "{} streams whole, {} visibly cut",
        whole.count(),
        cut.count()
    ));
    Ok(verdict)
}

fn read_stream(record: &Record, gateway: &Gateway, number: u32) -> io::Result<Got> {
    let attempt = format!("{:08x}{number:08x}", std::process::id());
    let mut connection = connect(&gateway.callers)?;
    connection.send(format!(
        "POST /darn/{attempt} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 15000\r\n\
         X-Model-Id: m\r\nX-Token-Usage: 220,{TOKENS}\r\nX-Prompt-Prefix: {attempt}:79,e{attempt}:141\r\n\
         Authorization: Bearer k1\r\nContent-Length: 4\r\n\r\nhelp"
    ))?;
    let answer = connection.read()?;
    let text = String::from_utf8_lossy(&answer.body);
    let got = Got {
        status: answer.status(),
        events: text
            .lines()
            .filter(|line| line.starts_with("data:"))
            .count() as u64,
        is_complete: answer.is_complete,
        signature: answer
            .header("x-response-signature")
            .unwrap_or_default()
            .to_owned(),
        attempt,
    };
    record.line(format!(
        "client got status {} for {}, {} events, complete: {}",
        got.status, got.attempt, got.events, got.is_complete
    ));
    Ok(got)
}

/// Starts the process of an engine and registers it in the store. Its lines go into the record.
fn start_engine(record: &Record, store: &Store, id: &str, stage: &str) -> io::Result<Engine> {
    let mut process = Command::new(std::env::current_exe()?)
        .args(["engine", id, stage])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    let output = process.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
    let engine = Engine {
        id: id.to_owned(),
        process,
    };
    let (send_port, port) = mpsc::channel();
    let (record, name) = (record.clone(), id.to_owned());
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            match line.strip_prefix("port ") {
                Some(port) => send_port.send(port.to_owned()).unwrap_or_default(),
                None => record.line(format!("server {name} {line}")),
            }
        }
    });
    let port = port.recv_timeout(Duration::from_secs(10));
    let port = port.map_err(|_| io::Error::other("an engine did not start"))?;
    store.put(
        &format!("servers/{id}"),
        &format!(
            r#"{{"service":"llm","address":"127.0.0.1:{port}","zone":"z1","version":"1","slots":16,"state":"ready","cold-remaining-ms":0,"sequence":1,"stage":"{stage}","born":1796500000000}}"#
        ),
    );
    Ok(engine)
}

/// Runs an engine in this process until it is killed.
pub fn run_engine(id: &str, stage: &str) -> io::Result<()> {
    let (id, stage) = (id.to_owned(), stage.to_owned());
    let runs = Arc::new(AtomicUsize::new(0));
    let output = Arc::new(Mutex::new(()));
    let port = listen("127.0.0.1:0", move |mut connection| {
        loop {
            let request = connection.read()?;
            let attempt = request.header("x-attempt-id").unwrap_or("-").to_owned();
            let echo = format!("X-Attempt-Id: {attempt}\r\n");
            let is_prefill = request.header("x-serving-stage") == Some("prefill");
            if request.path().starts_with("/-/") {
                connection.answer("404 Not Found", &echo, b"")?;
            } else if request.header("x-target-instance") != Some(&id)
                || is_prefill != (stage == "prefill")
            {
                connection.answer(
                    "421 Misdirected Request",
                    &format!("{echo}X-Not-Executed: 1\r\n"),
                    b"",
                )?;
            } else if is_prefill {
                let body = format!(r#"{{"kv-handle":"{attempt}","tokens":220,"version":1}}"#);
                connection.answer("200 OK", &echo, body.as_bytes())?;
            } else {
                let is_unframed = runs.fetch_add(1, Ordering::SeqCst) % UNFRAMED_PERIOD == 0;
                let line = |text: &str| {
                    let _one_at_a_time = output.lock();
                    println!("{text} {attempt}");
                };
                stream(&mut connection, &request, &id, is_unframed, line)?;
                if is_unframed {
                    return Ok(());
                }
            }
        }
    })?;
    println!("port {port}");
    loop {
        std::thread::sleep(Duration::from_secs(3600));
    }
}

fn stream(
    connection: &mut Connection,
    request: &Message,
    id: &str,
    is_unframed: bool,
    line: impl Fn(&str),
) -> io::Result<()> {
    let attempt = request.header("x-attempt-id").unwrap_or_default();
    let after = request
        .header("last-event-id")
        .and_then(|id| id.parse::<u64>().ok());
    line(match (after, is_unframed) {
        (None, false) => "begins the stream of",
        (None, true) => "begins the stream without a length of",
        (Some(_), false) => "goes on, from its copy, with the stream of",
        (Some(_), true) => "goes on, from its copy and without a length, with the stream of",
    });
    let framing = if is_unframed {
        "Connection: close"
    } else {
        "Transfer-Encoding: chunked"
    };
    connection.send(format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: {id}.{attempt}\r\n\
         Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
    ))?;
    for event in after.unwrap_or(0) + 1..=TOKENS {
        let text = format!("id: {event}\ndata: {attempt} {event}\n\n");
        match is_unframed {
            true => connection.send(&text)?,
            false => connection.send_chunk(&text)?,
        }
        std::thread::sleep(TOKEN_TIME);
    }
    line("has sent the whole stream of");
    match is_unframed {
        true => Ok(()),
        false => connection.send("0\r\n\r\n"),
    }
}
