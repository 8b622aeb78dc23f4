//! Service discovery for callers: addresses and readiness.

use ntex::web::types::State;
use ntex::web::{HttpRequest, HttpResponse};

use crate::adapters::{Adapters, Wire};
use crate::server::Context;

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Addresses in other zones are added if the caller's zone has fewer than this. With a single
/// address, its loss would leave the caller without any until its next query.
const MIN_IN_ZONE: usize = 2;

/// Answers a query for addresses.
pub(crate) async fn list<A: Adapters>(
    context: State<Context<A>>,
    request: HttpRequest,
) -> HttpResponse {
    let shared = &context.shared;
    let zone = query_value(request.query_string(), "zone").unwrap_or(&shared.config.zone);
    let now = shared.now();
    // This locks the membership too, so it must come before the lock below.
    let is_ready = shared.is_ready();
    let membership = shared.membership();
    let usable = membership.addresses(zone, 0, now);
    let own_zone = usable.iter().filter(|r| r.zone == zone).count();
    let limit = if own_zone >= MIN_IN_ZONE {
        own_zone
    } else {
        own_zone + MIN_IN_ZONE
    };
    let addresses: Vec<_> = usable
        .into_iter()
        // A vm that is only known as a seed has not announced its address for callers yet.
        .filter(|record| !record.caller_address.is_empty())
        .filter(|record| record.vm != shared.vm || is_ready)
        .map(|record| record.caller_address.clone())
        .take(limit.clamp(1, MAX_ADDRESSES))
        .collect();
    drop(membership);
    if addresses.is_empty() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    HttpResponse::Ok()
        .content_type("application/json")
        .body(A::Wire::addresses(
            &addresses,
            shared.config.address_lifetime(),
        ))
}

/// Answers whether this vm accepts callers.
pub(crate) async fn readiness<A: Adapters>(context: State<Context<A>>) -> HttpResponse {
    if context.shared.is_ready() {
        return HttpResponse::Ok().finish();
    }
    HttpResponse::ServiceUnavailable().finish()
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
