//! What a thread needs to act: the shared state and its own HTTP clients.

use std::ops::Deref;
use std::rc::Rc;
use std::sync::Arc;

use jujubebeam_http::{HttpClientConfig, build_client};
use jujubebeam_peer::{PeerClient, PeerClientConfig};
use jujubebeam_store::{StoreClient, StoreClientConfig};
use jujubebeam_vmlist::{VmListClient, VmListClientConfig};
use ntex::client::Client;

use crate::shared::Shared;

/// Clients of one thread. Connections are not shared between threads.
#[derive(Debug)]
pub(crate) struct Clients {
    /// Targets that answer repeatable requests; connections are kept.
    pub(crate) targets: Client,
    /// Targets of requests that may run at most once. Each request opens a connection of its own,
    /// because a kept connection that the target closes at the same moment leaves the outcome
    /// unknown.
    pub(crate) fresh: Client,
    /// Other vms.
    pub(crate) peers: PeerClient,
    /// The platform's store.
    pub(crate) store: StoreClient,
    /// The platform's list of vms.
    pub(crate) vm_list: VmListClient,
}

/// Handle of one thread. Clones share the clients.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    /// State of the process.
    pub(crate) shared: Arc<Shared>,
    clients: Rc<Clients>,
}

impl Context {
    /// Creates the clients of the calling thread.
    pub(crate) async fn new(shared: Arc<Shared>) -> Self {
        let client = build_client(HttpClientConfig::default()).await;
        let fresh = HttpClientConfig {
            keep_alive_s: 0,
            ..HttpClientConfig::default()
        };
        let platform = &shared.config.platform;
        let clients = Clients {
            targets: client.clone(),
            fresh: build_client(fresh).await,
            peers: PeerClient::new(client.clone(), PeerClientConfig::default()),
            store: StoreClient::new(
                client.clone(),
                &platform.store.to_string(),
                StoreClientConfig::default(),
            ),
            vm_list: VmListClient::new(
                client,
                &platform.vm_list.to_string(),
                VmListClientConfig::default(),
            ),
        };
        Self {
            shared,
            clients: Rc::new(clients),
        }
    }
}

impl Deref for Context {
    type Target = Clients;

    fn deref(&self) -> &Clients {
        &self.clients
    }
}
