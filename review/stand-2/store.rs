//! Stand-in for the platform's store: keys, leases, transactions and watches as on the page.
//!
//! Values are kept as the base64 text in which they travel.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::wire::{Connection, Message, listen};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and event of each change.
    history: Vec<(u64, String, String)>,
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub port: u16,
}

fn item_json(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
        lease,
    } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
    )
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value: value.to_owned(),
            revision: self.revision,
            created,
            lease,
        };
        let event = item_json(key, &item);
        self.history.push((self.revision, key.to_owned(), event));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event = format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#);
            self.history.push((revision, key.to_owned(), event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, i)| i.lease == lease)
                .map(|(k, _)| k.clone())
                .collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let mut store = Self::default();
        store.state.0.lock().unwrap().revision = 10;
        let serving = store.clone();
        store.port = listen("127.0.0.1:0", move |connection| serving.serve(connection))?;
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                expiring.state.0.lock().unwrap().expire();
                expiring.state.1.notify_all();
            }
        });
        Ok(store)
    }

    /// Writes a value as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        self.state
            .0
            .lock()
            .unwrap()
            .put(key, &base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    /// Removes a key, as a server that has left or whose entry has run out.
    pub fn remove(&self, key: &str) {
        self.state.0.lock().unwrap().remove(key);
        self.state.1.notify_all();
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        loop {
            let request = connection.read()?;
            let (status, body) = self.call(&request);
            connection.answer(
                status,
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            )?;
        }
    }

    fn call(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs.filter(|(n, _)| *n == name);
            found
                .next()
                .map(|(_, v)| v.replace("%2F", "/"))
                .unwrap_or_default()
        };
        let mut state = self.state.0.lock().unwrap();
        match path {
            "/-/kv-key" => match state.items.get(&field("key")) {
                Some(item) => {
                    let json = item_json(&field("key"), item);
                    let body = format!(
                        "{},\"current-rev\":{}}}",
                        json.trim_end_matches('}'),
                        state.revision
                    );
                    ("200 OK", body)
                }
                None => (
                    "404 Not Found",
                    format!(r#"{{"current-rev":{}}}"#, state.revision),
                ),
            },
            "/-/kv-range" => {
                let (prefix, after) = (field("path-prefix"), field("after"));
                let items = state
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = items.map(|(k, i)| item_json(k, i)).collect();
                let body = format!(
                    r#"{{"items":[{}],"truncated":false,"current-rev":{}}}"#,
                    items.join(","),
                    state.revision
                );
                ("200 OK", body)
            }
            "/-/kv-watch" => {
                let (prefix, after) =
                    (field("path-prefix"), field("after").parse().unwrap_or(0u64));
                let wait = Duration::from_millis(field("wait-ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let events = state
                        .history
                        .iter()
                        .filter(|(r, k, _)| *r > after && k.starts_with(&prefix));
                    let events: Vec<&str> = events.map(|(_, _, e)| e.as_str()).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!(
                            r#"{{"events":[{}],"current-rev":{}}}"#,
                            events.join(","),
                            state.revision
                        );
                        return ("200 OK", body);
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            "/-/kv-txn" => {
                let body = Json(String::from_utf8_lossy(&request.body).into_owned());
                let (expected, puts) = (body.rows("expected"), body.rows("puts"));
                let is_met = expected.iter().all(|row| {
                    let known = state.items.get(&row.text("key")).map_or(0, |i| i.revision);
                    known == row.number("revision")
                });
                if !is_met {
                    let items: Vec<String> = expected
                        .iter()
                        .map(|row| {
                            let key = row.text("key");
                            match state.items.get(&key) {
                                Some(item) => item_json(&key, item),
                                None => format!(r#"{{"key":"{key}","revision":0}}"#),
                            }
                        })
                        .collect();
                    return (
                        "412 Precondition Failed",
                        format!(r#"{{"items":[{}]}}"#, items.join(",")),
                    );
                }
                let is_lost = |row: &Json| {
                    row.number("lease") > 0 && !state.leases.contains_key(&row.number("lease"))
                };
                if puts.iter().any(is_lost) {
                    return ("404 Not Found", "{}".to_owned());
                }
                for row in &puts {
                    state.put(&row.text("key"), &row.text("value"), row.number("lease"));
                }
                for key in body.texts("remove") {
                    state.remove(&key);
                }
                self.state.1.notify_all();
                ("200 OK", format!(r#"{{"revision":{}}}"#, state.revision))
            }
            "/-/kv-lease" => {
                let body = Json(String::from_utf8_lossy(&request.body).into_owned());
                let ttl = body.number("ttl-ms");
                state.last_lease += 1;
                let (lease, length) = (state.last_lease, Duration::from_millis(ttl));
                state
                    .leases
                    .insert(lease, (Instant::now() + length, length));
                ("200 OK", format!(r#"{{"lease":{lease},"ttl-ms":{ttl}}}"#))
            }
            path => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse::<u64>().ok())
                    .unwrap_or(0);
                let Some((end, length)) = state.leases.get_mut(&id) else {
                    return ("404 Not Found", "{}".to_owned());
                };
                match path.starts_with("/-/kv-keep/") {
                    true => *end = Instant::now() + *length,
                    false => *end = Instant::now(),
                }
                (
                    "200 OK",
                    format!(r#"{{"lease":{id},"ttl-ms":{}}}"#, length.as_millis()),
                )
            }
        }
    }
}

/// The few forms of JSON that the gateway sends to the store, without spaces.
struct Json(String);

impl Json {
    fn after(&self, name: &str) -> Option<&str> {
        let mark = format!("\"{name}\":");
        self.0.find(&mark).map(|at| &self.0[at + mark.len()..])
    }

    fn text(&self, name: &str) -> String {
        let text = self.after(name).and_then(|rest| rest.strip_prefix('"'));
        text.and_then(|rest| rest.split('"').next())
            .unwrap_or_default()
            .to_owned()
    }

    fn number(&self, name: &str) -> u64 {
        let rest = self.after(name).unwrap_or_default();
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().unwrap_or(0)
    }

    fn list(&self, name: &str) -> &str {
        let list = self.after(name).and_then(|rest| rest.strip_prefix('['));
        list.and_then(|rest| rest.split(']').next())
            .unwrap_or_default()
    }

    fn rows(&self, name: &str) -> Vec<Json> {
        let rows = self.list(name).split('}').filter(|row| row.contains('{'));
        rows.map(|row| Json(row.to_owned())).collect()
    }

    fn texts(&self, name: &str) -> Vec<String> {
        let texts = self
            .list(name)
            .split(',')
            .map(|text| text.trim_matches('"'));
        texts
            .filter(|text| !text.is_empty())
            .map(str::to_owned)
            .collect()
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for digit in 0..4 {
            match digit <= part.len() {
                true => text.push(char::from(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
