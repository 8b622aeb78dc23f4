//! Stand-ins for servers of the platform. What they do with a request is given by each case.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Head, read_body, read_head};
use crate::store::Store;

/// Handles one request. Returns whether the connection stays open.
pub type Behaviour = dyn Fn(&Arc<Server>, &mut TcpStream, &Head, &[u8]) -> bool + Send + Sync;

/// One incarnation of a server.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    /// Requests that are being worked on.
    pub running: AtomicUsize,
    has_ended: AtomicBool,
    connections: Mutex<Vec<Weak<TcpStream>>>,
    store: Store,
}

impl Server {
    /// Starts a server and writes its entry. `entry` holds the fields beside those of all servers.
    pub fn start(store: &Store, id: &str, entry: &str, behaviour: Arc<Behaviour>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            running: AtomicUsize::new(0),
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
            store: store.clone(),
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born_ms = born.map_or(0, |time| time.as_millis());
        let entry = format!(
            r#"{{"address":"{}","zone":"plovdiv-a","version":1,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":{born_ms},{entry}}}"#,
            server.address
        );
        store.put(&format!("servers/{id}"), &entry);
        let serving = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended() {
                    return;
                }
                let (server, behaviour) = (serving.clone(), behaviour.clone());
                std::thread::spawn(move || server.serve(stream, &behaviour));
            }
        });
        server
    }

    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    /// Ends the server as a crash does: all connections are closed, and nothing listens any more.
    /// Returns false if it has ended before.
    pub fn crash(&self) -> bool {
        if self.has_ended.swap(true, Ordering::SeqCst) {
            return false;
        }
        let connections = std::mem::take(&mut *self.connections.lock().expect("not poisoned"));
        for stream in connections.iter().filter_map(Weak::upgrade) {
            // The other side may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, so that it ends.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        true
    }

    /// Removes the entry.
    pub fn remove_entry(&self) {
        self.store.remove(&format!("servers/{}", self.id));
    }

    fn serve(self: Arc<Self>, stream: TcpStream, behaviour: &Arc<Behaviour>) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let stream = Arc::new(stream);
        let mut connections = self.connections.lock().expect("not poisoned");
        connections.retain(|known| known.strong_count() > 0);
        connections.push(Arc::downgrade(&stream));
        drop(connections);
        let mut reader = BufReader::new(&*stream);
        loop {
            let head = read_head(&mut reader)?;
            let body = read_body(&mut reader, &head)?;
            self.running.fetch_add(1, Ordering::SeqCst);
            let stays_open = behaviour(&self, &mut writer, &head, &body);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !stays_open || self.has_ended() {
                // The other side may have closed it.
                let _ = stream.shutdown(Shutdown::Both);
                return None;
            }
        }
    }

    /// Writes a whole answer.
    pub fn answer(&self, writer: &mut TcpStream, head: &Head, body: &str) -> bool {
        let id = head.header("x-attempt-id").unwrap_or_default();
        let (signature, length) = (&self.id, body.len());
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: {signature}\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        );
        writer.write_all(answer.as_bytes()).is_ok()
    }
}

/// Whether the other side has not closed the connection.
pub fn is_open(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let peeked = stream.peek(&mut [0]);
    let is_blocking = stream.set_nonblocking(false).is_ok();
    let is_idle = peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
    is_blocking && is_idle
}
