//! Measures what one HTTP exchange costs beside its messages, over loopback.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use jujubebeam_core::peer::PeerMessage;
use jujubebeam_core::{Incarnation, VmId};
use jujubebeam_peer::{Envelope, MESSAGES_PATH, PeerClient, PeerClientConfig, decode, encode};
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::Serialize;

use super::cpu;
use crate::serve;

const EXCHANGES: u64 = 2000;

/// Cost of an exchange of two empty envelopes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Allowance {
    /// Bytes of the request: head and empty envelope.
    pub(crate) request_bytes: u64,
    /// Bytes of the answer: head and empty envelope.
    pub(crate) answer_bytes: u64,
    /// Processor time of one exchange, client and server together.
    pub(crate) cpu_us: f64,
}

/// Sends empty envelopes through a proxy that counts bytes.
pub(crate) fn measure() -> Result<Allowance, String> {
    let server = free_address()?;
    std::thread::spawn(move || serve::run(server, (), configure, |()| std::future::ready(())));
    wait_for(server)?;
    let (proxy, counted) = start_proxy(server)?;
    let system = ntex::rt::System::build()
        .name("capacity")
        .build(ntex::rt::DefaultRuntime);
    let cpu_us = system.block_on(async move {
        let client = jujubebeam_http::build_client(Default::default()).await;
        let client = PeerClient::new(client, PeerClientConfig::default());
        drive(&client, &proxy.to_string(), EXCHANGES).await?;
        let direct = server.to_string();
        drive(&client, &direct, EXCHANGES).await?;
        let before = cpu::process_seconds()?;
        drive(&client, &direct, 10 * EXCHANGES).await?;
        let seconds = cpu::process_seconds()? - before;
        Ok::<_, String>(seconds * 1e6 / (10 * EXCHANGES) as f64)
    })?;
    Ok(Allowance {
        request_bytes: counted.0.load(Ordering::SeqCst) / EXCHANGES,
        answer_bytes: counted.1.load(Ordering::SeqCst) / EXCHANGES,
        cpu_us,
    })
}

async fn drive(client: &PeerClient, address: &str, exchanges: u64) -> Result<(), String> {
    for _ in 0..exchanges {
        let answer = client.exchange(address, &empty()).await;
        answer.map_err(|e| format!("loopback exchange: {e}"))?;
    }
    Ok(())
}

fn empty() -> Envelope<PeerMessage> {
    Envelope {
        from: VmId(300),
        incarnation: Incarnation(1_790_000_000_000_000),
        messages: Vec::new(),
    }
}

fn configure(config: &mut ServiceConfig) {
    config.route(MESSAGES_PATH, web::post().to(receive));
}

/// Answers as the daemon does.
async fn receive(body: Bytes) -> HttpResponse {
    let Ok(_) = decode::<PeerMessage>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    HttpResponse::Ok()
        .content_type("application/msgpack")
        .body(encode(&empty()).unwrap_or_default())
}

type Counted = Arc<(AtomicU64, AtomicU64)>;

fn start_proxy(server: SocketAddr) -> Result<(SocketAddr, Counted), String> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let counted = Counted::default();
    let counters = Arc::clone(&counted);
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(upstream) = TcpStream::connect(server) else {
                return;
            };
            for (forth, counters) in [(true, counters.clone()), (false, counters.clone())] {
                let pair = (client.try_clone(), upstream.try_clone());
                let (Ok(client), Ok(upstream)) = pair else {
                    return;
                };
                std::thread::spawn(move || match forth {
                    true => copy(client, upstream, &counters.0),
                    false => copy(upstream, client, &counters.1),
                });
            }
        }
    });
    Ok((address, counted))
}

fn copy(mut from: TcpStream, mut to: TcpStream, counter: &AtomicU64) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 {
            return;
        }
        counter.fetch_add(count as u64, Ordering::SeqCst);
        if to.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}

fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

fn wait_for(address: SocketAddr) -> Result<(), String> {
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        if TcpStream::connect(address).is_ok() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(format!("the loopback server at {address} did not start"))
}
