//! A request that crashes each server that begins to run it, and comes again.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::gateway;
use crate::http::{Head, call};
use crate::record::Record;
use crate::server::{Behaviour, Server};
use crate::store::Store;
use crate::{Outcome, Place};

const KEY: &str = "2b9wu3fexd9dnn2ctnfz";

/// Configuration of an order service, with the figures of the site stoyanovi-quotes.
const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"quote-read","host":"ficu95.example","path-prefix":"/pufi791/","kind":"safe","timeout-ms":1200,"target-latency-ms":150,"priority":2,"service":"order-desk","max-attempts":2,"public":false},
 {"name":"survey-book","host":"ficu95.example","path-prefix":"/volo102/","kind":"unsafe","timeout-ms":1200,"target-latency-ms":150,"priority":2,"service":"order-desk","max-attempts":1,"public":false}],
 "services":[{"name":"order-desk","health-check-path":"/health","max-connections":100}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"huka270","api-keys":["2b9wu3fexd9dnn2ctnfz"]}]}"#;

/// Time for which a machine has to be undisturbed to be in touch (`contact-ms`).
const CONTACT: Duration = Duration::from_millis(3000);

/// Crashes after which the retries are counted, and the number of them that the rule allows.
const COUNTED_CRASHES: usize = 3;
const ALLOWED_RETRIES: usize = 3;

/// Time after which a crashed server is back, as another incarnation, and after which the entry of the
/// old one is removed: three of the intervals in which servers write their entries.
const RESTART_TIME: Duration = Duration::from_millis(2000);
const ENTRY_TIME: Duration = Duration::from_millis(3600);

/// Pause before the caller sends the request again.
const PAUSE: Duration = Duration::from_millis(4000);

/// Pause before its client repeats it after a failure, within its deadline.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How often the caller sends it.
const SENDS: u64 = 8;

/// Work of a request at a server.
const READ_WORK: Duration = Duration::from_millis(30);
const BOOKING_WORK: Duration = Duration::from_millis(30);

/// How the request comes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Case {
    /// It differs from sound requests of its caller by its query only.
    Query,
    /// It has a path of its own, and all gateways are killed between the rounds in which it comes.
    Restarts,
}

/// Rounds of [`Case::Restarts`], how often the request comes in each, and how long the gateways are
/// down between them.
const ROUNDS: u64 = 3;
const SENDS_PER_ROUND: u64 = 2;
const DOWN_TIME: Duration = Duration::from_millis(2000);

struct World {
    store: Store,
    record: Record,
    started: AtomicU64,
    /// When a server that ran the request crashed, and when the request reached a server.
    crashes: Mutex<Vec<Duration>>,
    arrivals: Mutex<Vec<Duration>>,
}

fn start_server(world: &Arc<World>) {
    let number = world.started.fetch_add(1, Ordering::SeqCst) + 1;
    let at_server = world.clone();
    let behaviour: Arc<Behaviour> = Arc::new(
        move |server: &Arc<Server>, writer: &mut TcpStream, head: &Head, _: &[u8]| {
            run_request(&at_server, server, writer, head)
        },
    );
    let entry = r#""service":"order-desk","slots":6"#;
    Server::start(&world.store, &format!("i-{number}"), entry, behaviour);
}

fn run_request(
    world: &Arc<World>,
    server: &Arc<Server>,
    writer: &mut TcpStream,
    head: &Head,
) -> bool {
    let attempt = head.header("x-attempt-id").unwrap_or_default();
    let path = head.path();
    if path.contains("poison") {
        let at = world.record.now();
        world.arrivals.lock().expect("not poisoned").push(at);
        let others = server.running.load(Ordering::SeqCst) - 1;
        let line = format!(
            "server {} runs {attempt} {path} and crashes, with {others} others",
            server.id
        );
        world.record.add(line);
        if server.crash() {
            world.crashes.lock().expect("not poisoned").push(at);
            let (world, server) = (world.clone(), server.clone());
            std::thread::spawn(move || {
                sleep(RESTART_TIME);
                start_server(&world);
                sleep(ENTRY_TIME - RESTART_TIME);
                server.remove_entry();
            });
        }
        return false;
    }
    let work = match path.starts_with("/volo102/") {
        true => BOOKING_WORK,
        false => READ_WORK,
    };
    sleep(work);
    !server.has_ended() && server.answer(writer, head, &format!("done {path}"))
}

pub fn run(place: &Place, case: Case) -> Outcome {
    let world = Arc::new(World {
        store: Store::start(),
        record: Record::new(),
        started: AtomicU64::new(0),
        crashes: Mutex::default(),
        arrivals: Mutex::default(),
    });
    world.store.put("op/config", CONFIG);
    for _ in 0..3 {
        start_server(&world);
    }
    let mut gateways = gateway::prepare(3, &place.root, &place.folder, world.store.address);
    for gateway in &mut gateways {
        gateway.start();
    }
    if !gateways.iter().all(|gateway| gateway.wait_ready()) {
        return Outcome::Failed("a gateway is not ready".into());
    }
    // From here on no machine is disturbed.
    sleep(CONTACT);
    let callers: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let stopped = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Mutex::new(BTreeMap::<(String, u16), usize>::new()));
    let threads: Vec<_> = (0..12_usize)
        .map(|client| {
            let (world, stopped, counts) = (world.clone(), stopped.clone(), counts.clone());
            let callers = callers.clone();
            std::thread::spawn(move || {
                for number in 0_usize.. {
                    if stopped.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("s{client:02}{number:05}");
                    let address = callers[(client + number) % callers.len()];
                    let is_booking = client % 3 != 0;
                    let answer = match is_booking {
                        true => send(
                            address,
                            "POST",
                            "/volo102/2f",
                            &id,
                            format!("book {id}").as_bytes(),
                        ),
                        false => {
                            let item = (client + number * 7) % 50;
                            send(
                                address,
                                "GET",
                                &format!("/pufi791/2f?item={item}"),
                                &id,
                                b"",
                            )
                        }
                    };
                    let kind = if is_booking { "booking" } else { "read" };
                    if answer.0 != 200 {
                        let line =
                            format!("client gets {} for {kind} {id}: {}", answer.0, answer.1);
                        world.record.add(line);
                    }
                    let mut counts = counts.lock().expect("not poisoned");
                    *counts.entry((kind.to_owned(), answer.0)).or_default() += 1;
                    drop(counts);
                    sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(2));
    let is_poison = place.has_trouble || std::env::var("TROUBLE").as_deref() == Ok("poison");
    let path = match (case, is_poison) {
        (_, false) => "/pufi791/2f?item=50",
        (Case::Query, true) => "/pufi791/2f?item=poison",
        (Case::Restarts, true) => "/pufi791/poison",
    };
    let (rounds, sends) = match case {
        Case::Query => (1, SENDS),
        Case::Restarts => (ROUNDS, SENDS_PER_ROUND),
    };
    for round in 0..rounds {
        for number in 0..sends {
            let next_at = Instant::now() + PAUSE;
            send_twice(&world, &callers, path, round * sends + number);
            sleep(next_at.saturating_duration_since(Instant::now()));
        }
        if round + 1 == rounds {
            break;
        }
        if place.has_trouble && case == Case::Restarts {
            world.record.add("all gateways are killed".into());
            for gateway in &mut gateways {
                gateway.kill();
            }
            sleep(DOWN_TIME);
            for gateway in &mut gateways {
                gateway.start();
            }
            if !gateways.iter().all(|gateway| gateway.wait_ready()) {
                return Outcome::Failed("a gateway is not ready again".into());
            }
            world.record.add("all gateways are ready again".into());
        }
        // All machines are in touch again.
        sleep(CONTACT);
    }
    stopped.store(true, Ordering::SeqCst);
    for thread in threads {
        // A client thread does not panic.
        let _ = thread.join();
    }
    for gateway in &mut gateways {
        gateway.kill();
    }
    let crashes = world.crashes.lock().expect("not poisoned").clone();
    let arrivals = world.arrivals.lock().expect("not poisoned").clone();
    let counted_from = crashes
        .get(COUNTED_CRASHES - 1)
        .map(|third| *third + CONTACT);
    let late = counted_from.map_or(0, |from| arrivals.iter().filter(|at| **at > from).count());
    let mut summary = vec![
        format!("trouble: {}", place.has_trouble),
        format!("servers that the request crashed: {}", crashes.len()),
        format!(
            "arrivals of the request at servers later than {} ms after the third crash: {late} \
             (allowed: {ALLOWED_RETRIES})",
            CONTACT.as_millis()
        ),
    ];
    for ((kind, status), count) in counts.lock().expect("not poisoned").iter() {
        summary.push(format!(
            "sound requests, {kind}, answered {status}: {count}"
        ));
    }
    world.record.write(&place.record, &summary);
    println!("{}", summary.join("\n"));
    match late > ALLOWED_RETRIES {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// Sends the request. Its client repeats it once after a failure, as the clients of the site do.
fn send_twice(world: &World, callers: &[SocketAddr], path: &str, number: u64) {
    for attempt in 0..2 {
        let id = format!("p{number}a{attempt}");
        let address = callers[(number as usize + attempt) % callers.len()];
        let answer = send(address, "GET", path, &id, b"");
        let line = format!("client gets {} for {id} {path}: {}", answer.0, answer.1);
        world.record.add(line);
        if answer.0 == 200 || answer.0 == 503 {
            return;
        }
        sleep(RETRY_PAUSE);
    }
}

fn send(address: SocketAddr, method: &str, path: &str, id: &str, body: &[u8]) -> (u16, String) {
    let headers = [
        ("Host", "ficu95.example".to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("X-Deadline-Ms", "2500".to_owned()),
        ("Authorization", format!("Bearer {KEY}")),
    ];
    let answer = call(address, method, path, &headers, body);
    let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
    (answer.status, text)
}
