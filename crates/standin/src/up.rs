//! Brings up stand-ins and six vms on loopback.

pub(crate) mod example;
pub(crate) mod processes;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jujubebeam_caller::AddressList;
use jujubebeam_core::store::{Expected, StoreOp, StoreReply};
use jujubebeam_http::{CallError, HttpClientConfig, JsonClient, build_client};
use jujubebeam_store::{StoreClient, StoreClientConfig};
use ntex::client::Client;
use ntex::time::{Millis, sleep};
use tokio::signal::unix::{SignalKind, signal};

use example::Layout;
use processes::Processes;

/// Longest time until all vms are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Options of a fleet.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Options {
    /// Serves two requests and stops.
    pub(crate) once: bool,
    /// Connects vms with each other and with the platform through a relay.
    pub(crate) relays: bool,
    /// Length of a usage window.
    pub(crate) usage_window_s: Option<u64>,
}

/// Starts everything.
pub(crate) fn run(base_port: u16, options: Options) -> Result<(), String> {
    let mut layout = Layout::new(base_port);
    layout.relays = options.relays;
    layout.usage_window_s = options.usage_window_s;
    let system = ntex::rt::System::build()
        .name("up")
        .build(ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let mut processes = Processes::default();
        let result = tokio::select! {
            result = bring_up(&layout, &mut processes, options.once) => result,
            result = stop_signal() => result,
        };
        processes.stop();
        result
    })
}

async fn stop_signal() -> Result<(), String> {
    let listen = |kind| signal(kind).map_err(|e| e.to_string());
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut terminate = listen(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => Ok(()),
        _ = terminate.recv() => Ok(()),
    }
}

async fn bring_up(layout: &Layout, processes: &mut Processes, once: bool) -> Result<(), String> {
    processes.start_all(layout)?;
    let client = build_client(HttpClientConfig::default()).await;
    wait_until(&client, layout.platform, "/vms").await?;
    write_settings(&client, layout.platform, layout.settings()).await?;
    for vm in &layout.vms {
        wait_until(&client, vm.caller, "/readyz").await?;
    }
    if once {
        return serve_once(&client, layout).await;
    }
    print!("{}", layout.instructions());
    std::future::pending().await
}

/// Waits until a path answers with success.
pub(crate) async fn wait_until(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Result<(), String> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        let answer = client.get(format!("http://{address}{path}")).send().await;
        if answer.is_ok_and(|a| a.status().is_success()) {
            return Ok(());
        }
        sleep(Millis(50)).await;
    }
    Err(format!("http://{address}{path} was not ready in time"))
}

/// Writes settings subtrees into the store.
pub(crate) async fn write_settings(
    client: &Client,
    platform: SocketAddr,
    settings: Vec<(String, String)>,
) -> Result<(), String> {
    let store = StoreClient::new(
        client.clone(),
        &platform.to_string(),
        StoreClientConfig::default(),
    );
    for (key, text) in settings {
        let reply = store
            .perform(StoreOp::Cas {
                key: key.clone(),
                expected: Expected::Absent,
                value: text.into_bytes(),
                lease: None,
                guard: None,
            })
            .await;
        if !matches!(reply, StoreReply::Written { .. }) {
            return Err(format!("settings {key} were not written: {reply:?}"));
        }
    }
    Ok(())
}

async fn serve_once(client: &Client, layout: &Layout) -> Result<(), String> {
    let json = JsonClient::new(
        client.clone(),
        &layout.vms[0].caller.to_string(),
        Duration::from_secs(5),
    );
    let list: AddressList = json
        .get("/v1/addresses?zone=brest")
        .await
        .map_err(|e| e.to_string())?
        .body;
    let address = list.addresses.first().ok_or("no address was offered")?;
    println!("address: {} in zone {}", address.url, address.zone);
    // A vm may be ready before it has heard from all targets.
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        match chat(client, &address.url).await {
            Ok(text) => {
                println!("{text}");
                break;
            }
            Err(e) if Instant::now() > deadline => return Err(e),
            Err(_) => sleep(Millis(100)).await,
        }
    }
    println!("{}", checkout(client, &address.url).await?);
    Ok(())
}

async fn chat(client: &Client, url: &str) -> Result<String, String> {
    let response = client
        .post(format!("{url}/v1/chat/completions"))
        .header("authorization", format!("Bearer {}", example::KEY))
        .content_type("application/json")
        .send_body(example::CHAT_BODY)
        .await
        .map_err(|e| e.to_string())?;
    read_success(response).await
}

async fn checkout(client: &Client, url: &str) -> Result<String, String> {
    let response = client
        .post(format!("{url}/checkout/orders"))
        .header("authorization", format!("Bearer {}", example::KEY))
        .header("idempotency-key", "order-1")
        .content_type("application/json")
        .send_body(example::CHECKOUT_BODY)
        .await
        .map_err(|e| e.to_string())?;
    read_success(response).await
}

async fn read_success(response: ntex::client::ClientResponse) -> Result<String, String> {
    let status = response.status();
    let bytes = response
        .body()
        .await
        .map_err(|e| CallError::NoAnswer(e.to_string()).to_string())?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    if !status.is_success() {
        return Err(format!("status {status}: {text}"));
    }
    Ok(text)
}
