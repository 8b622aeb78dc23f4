//! BUDGET: a request that crashes the servers that run it, which fall silent as they crash.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::Verdict;
use crate::gateway::{Gateway, connect};
use crate::record::Record;
use crate::store::Store;
use crate::wire::{Connection, Message, listen};

/// The routes of the checkout service as on the sheet and in the site file of the Brittany deployment.
const CONFIG: &str = r#"{"version":1,
"routes":[{"name":"stock-read","host":"h.example","path-prefix":"/stock/","kind":"safe","timeout-ms":800,"target-latency-ms":100,"max-attempts":2,"priority":2,"service":"app"},
{"name":"checkout-charge","host":"h.example","path-prefix":"/charge/","kind":"unsafe","timeout-ms":800,"target-latency-ms":100,"max-attempts":1,"priority":2,"service":"app"}],
"services":[{"name":"app","health-check-path":"/health","max-connections":96}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"t1","api-keys":["k1"]}]}"#;

/// How long a server is down after it has crashed.
const DOWN: Duration = Duration::from_secs(2);

/// `contact-ms` of the sheet.
const CONTACT: Duration = Duration::from_millis(3000);

/// Retries that the rule allows later than `contact-ms` after the third crash.
const ALLOWED_RETRIES: usize = 3;

/// How often the request comes, and the time between. Its client repeats it once, as on the sheet.
const TIMES: u32 = 8;
const INTERVAL: Duration = Duration::from_secs(4);

/// Path of the request that crashes servers.
const POISON: &str = "/stock/7c1e";

/// What the servers of the service have in common.
#[derive(Clone)]
struct Service {
    store: Store,
    record: Record,
    has_trouble: bool,
    /// Whether a server that crashes closes the connection of the request at once, for comparison.
    closes: bool,
    /// When the request reached a server, and whether it crashed that server.
    arrivals: Arc<Mutex<Vec<Duration>>>,
    /// Charges that a server had begun and did not answer, as it crashed.
    lost_charges: Arc<Mutex<Vec<String>>>,
}

/// One run of a server.
struct Server {
    service: Service,
    id: String,
    is_down: AtomicBool,
}

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let service = Service {
        store: Store::start()?,
        record: record.clone(),
        has_trouble,
        closes: std::env::var("TROUBLE").is_ok_and(|value| value == "closing"),
        arrivals: Arc::default(),
        lost_charges: Arc::default(),
    };
    service.store.put("op/config", CONFIG);
    for number in 1..=3 {
        start_server(&service, number, 1)?;
    }
    let gateway = Gateway::start("vm-1", service.store.port)?;
    gateway.wait_ready()?;
    // A machine is in touch after `contact-ms` without trouble.
    std::thread::sleep(Duration::from_millis(3500));
    let ends = AtomicBool::new(false);
    let answers = Mutex::new(Vec::new());
    std::thread::scope(|scope| -> io::Result<()> {
        for client in 0..8 {
            let (gateway, ends, answers) = (&gateway, &ends, &answers);
            scope.spawn(move || charge(gateway, client, ends, answers));
        }
        let sent = send_poison(record, &gateway);
        ends.store(true, Ordering::SeqCst);
        sent
    })?;
    let answers = answers.into_inner().unwrap();
    let whole = answers.iter().filter(|status| **status == 200).count();
    record.line(format!(
        "charges: {} sent, {whole} answered with 200",
        answers.len()
    ));
    let lost = service.lost_charges.lock().unwrap();
    record.line(format!(
        "charges that a server had begun and did not answer, as it crashed: {}",
        lost.len()
    ));
    let arrivals = service.arrivals.lock().unwrap();
    let Some(third) = arrivals.get(2).copied().filter(|_| has_trouble) else {
        return Ok(Verdict::Held);
    };
    let late = arrivals.iter().filter(|at| **at > third + CONTACT).count();
    record.line(format!(
        "{} crashes, the third at {:.3} s; {late} arrivals later than {} ms after it, {ALLOWED_RETRIES} are allowed",
        arrivals.len(),
        third.as_secs_f64(),
        CONTACT.as_millis()
    ));
    Ok(match late > ALLOWED_RETRIES {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends the request again and again. Its client repeats it once after a failure, within its time.
fn send_poison(record: &Record, gateway: &Gateway) -> io::Result<()> {
    for time in 1..=TIMES {
        let (started, deadline) = (Instant::now(), Duration::from_millis(1500));
        for attempt in 1..=2 {
            let left = deadline.saturating_sub(started.elapsed()).as_millis();
            if left < 100 {
                break;
            }
            let id = format!("{:08x}{time:04x}{attempt:04x}", std::process::id());
            record.line(format!("client sends {id} (GET {POISON}) with {left} ms"));
            let mut connection = connect(&gateway.callers)?;
            connection.send(format!(
                "GET {POISON} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {left}\r\n\
                 Authorization: Bearer k1\r\n\r\n"
            ))?;
            let status = connection.read()?.status();
            record.line(format!("client got {status} for {id}"));
            if status == 200 {
                break;
            }
        }
        std::thread::sleep(INTERVAL.saturating_sub(started.elapsed()));
    }
    Ok(())
}

/// Sends charges, one after the other, about ten a second.
fn charge(gateway: &Gateway, client: u32, ends: &AtomicBool, answers: &Mutex<Vec<u16>>) {
    let mut number = 0;
    while !ends.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("c{:07x}{client:04x}{number:04x}", std::process::id());
        let sent = connect(&gateway.callers).and_then(|mut connection| {
            connection.send(format!(
                "POST /charge/{id} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\
                 Authorization: Bearer k1\r\nContent-Length: 4\r\n\r\nkit1"
            ))?;
            connection.read()
        });
        answers
            .lock()
            .unwrap()
            .push(sent.map_or(0, |answer| answer.status()));
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn start_server(service: &Service, number: u32, run: u32) -> io::Result<()> {
    let id = format!("i-{number}-{run}");
    let server = Arc::new(Server {
        service: service.clone(),
        id: id.clone(),
        is_down: AtomicBool::new(false),
    });
    let port = listen("127.0.0.1:0", move |connection| {
        server.serve(connection, number, run)
    })?;
    let born = 1_796_500_000_000_u64 + u64::from(run);
    service.store.put(
        &format!("servers/{id}"),
        &format!(
            r#"{{"service":"app","address":"127.0.0.1:{port}","zone":"z1","version":"1","slots":6,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":{born}}}"#
        ),
    );
    service.record.line(format!("server {id} starts"));
    Ok(())
}

impl Server {
    fn serve(&self, mut connection: Connection, number: u32, run: u32) -> io::Result<()> {
        loop {
            let request = connection.read()?;
            let id = request.header("x-attempt-id").unwrap_or("-").to_owned();
            if self.is_down() {
                return self.stay_silent();
            }
            if request.header("x-target-instance") != Some(&self.id) {
                let headers = format!("X-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n");
                connection.answer("421 Misdirected Request", &headers, b"")?;
                continue;
            }
            if request.path() == POISON && self.service.has_trouble {
                return self.crash(&id, number, run);
            }
            self.answer(&mut connection, &request, &id)?;
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message, id: &str) -> io::Result<()> {
        // The work of the sheet, in the mean.
        std::thread::sleep(Duration::from_millis(15));
        if self.is_down() {
            if request.path().starts_with("/charge/") {
                self.service
                    .lost_charges
                    .lock()
                    .unwrap()
                    .push(id.to_owned());
                self.service
                    .record
                    .line(format!("server {} had begun the charge {id}", self.id));
            }
            return self.stay_silent();
        }
        let headers = format!(
            "X-Attempt-Id: {id}\r\nX-Response-Signature: {}.{id}\r\n",
            self.id
        );
        connection.answer("200 OK", &headers, &[b'x'; 800])
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Goes dark: sends nothing more on any connection. A new run with another id is there later.
    fn crash(&self, id: &str, number: u32, run: u32) -> io::Result<()> {
        self.is_down.store(true, Ordering::SeqCst);
        let service = self.service.clone();
        service.arrivals.lock().unwrap().push(service.record.now());
        service
            .record
            .line(format!("server {} begins to run {id} and crashes", self.id));
        let (closes, key) = (service.closes, format!("servers/{}", self.id));
        let restart = std::thread::spawn(move || {
            std::thread::sleep(DOWN);
            service.store.remove(&key);
            start_server(&service, number, run + 1)
        });
        match closes {
            true => Ok(()),
            false => restart.join().unwrap_or(Ok(())),
        }
    }

    /// Keeps the connection open without an answer, as long as the server is down.
    fn stay_silent(&self) -> io::Result<()> {
        std::thread::sleep(DOWN);
        Ok(())
    }
}
