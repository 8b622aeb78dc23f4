//! Answers which entry address a caller should use.

use jujubebeam_caller::{Address, AddressList};
use jujubebeam_vmlist::ListedState;
use ntex::web::{HttpRequest, HttpResponse};

use super::ContextState;

/// How long callers may keep an answer.
const LIFETIME_MS: u64 = 10_000;

/// Handles `GET /v1/addresses`.
pub(crate) async fn list(context: ContextState, request: HttpRequest) -> HttpResponse {
    let zone = query_value(request.query_string(), "zone").unwrap_or_default();
    let vms = context.shared.vms();
    let mut live: Vec<_> = vms
        .vms
        .iter()
        .filter(|vm| vm.state == ListedState::Live)
        .collect();
    if !live.is_empty() {
        // Rotating by a serial spreads callers that ask the same vm.
        let shift = context.shared.next_serial() as usize % live.len();
        live.rotate_left(shift);
    }
    live.sort_by_key(|vm| vm.zone != zone);
    let addresses = live
        .iter()
        .map(|vm| Address {
            url: format!("http://{}", vm.caller_address),
            zone: vm.zone.clone(),
        })
        .collect();
    HttpResponse::Ok().json(&AddressList {
        addresses,
        lifetime_ms: LIFETIME_MS,
    })
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
