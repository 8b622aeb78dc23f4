//! Finds out which address to use, and keeps the answer for its lifetime.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use jujubebeam_caller::AddressList;
use jujubebeam_http::JsonClient;
use ntex::client::Client;

use super::config::LoadConfig;

const ASK_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Known {
    urls: Vec<String>,
    until: Option<Instant>,
}

/// Entry addresses, best first.
pub(crate) struct Addresses {
    client: Client,
    zone: String,
    entries: Vec<String>,
    known: RefCell<Known>,
}

impl Addresses {
    pub(crate) fn new(client: Client, config: &LoadConfig) -> Self {
        let urls = config.address.iter().cloned().collect();
        Self {
            client,
            zone: config.zone.clone(),
            // A fixed address is never replaced, so nobody is asked.
            entries: match config.address {
                Some(_) => Vec::new(),
                None => config.entries.clone(),
            },
            known: RefCell::new(Known { urls, until: None }),
        }
    }

    /// The addresses to try. Asks a vm if the last answer is over.
    pub(crate) async fn list(&self) -> Vec<String> {
        let valid = {
            let known = self.known.borrow();
            known.until.is_some_and(|until| Instant::now() < until)
        };
        if !valid && !self.entries.is_empty() {
            self.ask().await;
        }
        self.known.borrow().urls.clone()
    }

    /// Asks the known vms and the entries in turn. Without any answer the old list stays in use.
    async fn ask(&self) {
        let mut askable = self.known.borrow().urls.clone();
        askable.extend(self.entries.iter().cloned());
        for url in askable {
            let address = url.trim_start_matches("http://");
            let json = JsonClient::new(self.client.clone(), address, ASK_TIMEOUT);
            let path = format!("/v1/addresses?zone={}", self.zone);
            let Ok(answer) = json.get::<AddressList>(&path).await else {
                continue;
            };
            let urls: Vec<_> = answer.body.addresses.into_iter().map(|a| a.url).collect();
            if urls.is_empty() {
                continue;
            }
            let lifetime = Duration::from_millis(answer.body.lifetime_ms);
            let until = Some(Instant::now() + lifetime);
            *self.known.borrow_mut() = Known { urls, until };
            return;
        }
    }
}
