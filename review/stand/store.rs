//! Stand-in for the platform's metadata store. It is sound: it has no outage and loses no answer.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head};
use crate::json::{Json, from_base64, to_base64};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order; one without an item is a removal.
    history: Vec<(u64, String, Option<Item>)>,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// The store. Clones share its content.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl State {
    fn write(&mut self, key: &str, value: Option<Vec<u8>>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let known = self.items.remove(key);
        let item = value.map(|value| Item {
            value,
            revision,
            created: known.map_or(revision, |known| known.created),
            lease,
        });
        if let Some(item) = &item {
            self.items.insert(key.to_owned(), item.clone());
        }
        self.history.push((revision, key.to_owned(), item));
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let leases = self.leases.iter();
        let ended: Vec<u64> = leases
            .filter(|(_, (_, end))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.leases.remove(&lease);
            let items = self.items.iter().filter(|(_, item)| item.lease == lease);
            let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
            for key in keys {
                self.write(&key, None, 0);
            }
        }
    }

    fn item_text(&self, key: &str, item: &Item) -> String {
        format!(
            r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{},"current-rev":{}}}"#,
            to_base64(&item.value),
            item.revision,
            item.created,
            item.lease,
            self.revision
        )
    }

    fn transact(&mut self, call: &Json) -> (u16, String) {
        let revision_of = |state: &Self, key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let expected = call.list("expected");
        let holds = |row: &Json| revision_of(self, row.text_of("key")) == row.number_of("revision");
        if !expected.iter().all(holds) {
            let items = expected.iter().map(|row| {
                let key = row.text_of("key");
                match self.items.get(key) {
                    Some(item) => self.item_text(key, item),
                    None => format!(
                        r#"{{"key":"{key}","revision":0,"current-rev":{}}}"#,
                        self.revision
                    ),
                }
            });
            let items: Vec<String> = items.collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let leases = call.list("puts").iter().map(|put| put.number_of("lease"));
        if leases
            .into_iter()
            .any(|l| l != 0 && !self.leases.contains_key(&l))
        {
            return (404, "{}".into());
        }
        for put in call.list("puts") {
            let value = from_base64(put.text_of("value"));
            self.write(put.text_of("key"), Some(value), put.number_of("lease"));
        }
        for key in call.list("remove") {
            self.write(key.text(), None, 0);
        }
        (200, format!(r#"{{"revision":{}}}"#, self.revision))
    }
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            revision: 10,
            ..State::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr().expect("an address"),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("not poisoned");
        state.write(key, Some(value.as_bytes().to_vec()), 0);
        changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.state;
        state.lock().expect("not poisoned").write(key, None, 0);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let head = read_head(&mut reader)?;
            let body = read_body(&mut reader, &head)?;
            let (status, text) = self.answer(head.method(), head.path(), &body);
            let length = text.len();
            let answer = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\n\r\n{text}"
            );
            writer.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn answer(&self, method: &str, path: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map_or_else(String::new, |(_, value)| decode(value))
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("not poisoned");
        state.end_leases();
        let last_part = path.rsplit('/').next().unwrap_or_default();
        let lease = last_part.parse::<u64>().unwrap_or(0);
        let answer = match (method, path) {
            (_, "/-/kv-key") => {
                let key = field("key");
                match state.items.get(&key) {
                    Some(item) => (200, state.item_text(&key, item)),
                    None => (404, format!(r#"{{"current-rev":{}}}"#, state.revision)),
                }
            }
            (_, "/-/kv-range") => {
                let (prefix, after) = (field("path-prefix"), field("after"));
                let items = state.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<_> = items.map(|(k, item)| state.item_text(k, item)).collect();
                let body = format!(
                    r#"{{"items":[{}],"truncated":false,"current-rev":{}}}"#,
                    items.join(","),
                    state.revision
                );
                (200, body)
            }
            (_, "/-/kv-watch") => {
                let (prefix, after) = (field("path-prefix"), field("after"));
                let after: u64 = after.parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait-ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let events = state.history.iter();
                    let events =
                        events.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
                    let events: Vec<_> = events
                        .map(|(revision, key, item)| match item {
                            Some(item) => state.item_text(key, item),
                            None => format!(
                                r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!(
                            r#"{{"events":[{}],"current-rev":{}}}"#,
                            events.join(","),
                            state.revision
                        );
                        break (200, body);
                    }
                    let waited = changed.wait_timeout(state, left);
                    state = waited.expect("not poisoned").0;
                    state.end_leases();
                }
            }
            (_, "/-/kv-txn") => match Json::parse(body) {
                Some(call) => state.transact(&call),
                None => (400, "{}".into()),
            },
            (_, "/-/kv-lease") => {
                let ttl_ms = Json::parse(body).map_or(0, |call| call.number_of("ttl-ms"));
                state.last_lease += 1;
                let (lease, ttl) = (state.last_lease, Duration::from_millis(ttl_ms));
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!(r#"{{"lease":{lease},"ttl-ms":{ttl_ms}}}"#))
            }
            (_, path) if path.starts_with("/-/kv-keep/") => match state.leases.get_mut(&lease) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    let ttl_ms = ttl.as_millis();
                    (200, format!(r#"{{"lease":{lease},"ttl-ms":{ttl_ms}}}"#))
                }
                None => (404, "{}".into()),
            },
            (_, path) if path.starts_with("/-/kv-lease-end/") => {
                match state.leases.get_mut(&lease) {
                    Some((_, end)) => {
                        *end = Instant::now();
                        state.end_leases();
                        (200, "{}".into())
                    }
                    None => (404, "{}".into()),
                }
            }
            _ => (404, "{}".into()),
        };
        changed.notify_all();
        answer
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
