//! Whether an engine shows the effect of an order that it took.

use jujubebeam_core::authority::SendResult;
use jujubebeam_core::targets::{Role, TargetState};
use jujubebeam_engine::EngineClient;

use super::state::lock;
use crate::context::Context;

/// Whether an engine is known to have taken an order.
pub(crate) fn was_taken(context: &Context, order_id: u64) -> bool {
    lock(&context.shared.fleet.taken).contains_key(&order_id)
}

/// Result of a role order that the engine took. The order stays pending until the engine reports
/// its effect, so that a later holder does not take the engine for one that serves. If the engine
/// restarted, the order is abandoned: it may crash the engine each time.
pub(crate) async fn effect(
    context: &Context,
    client: &EngineClient,
    order_id: u64,
    role: Role,
) -> SendResult {
    let Ok(report) = client.load().await else {
        return SendResult::Busy;
    };
    let mut taken = lock(&context.shared.fleet.taken);
    let first = *taken.entry(order_id).or_insert(report.incarnation);
    if report.state != TargetState::Serving {
        return SendResult::Busy;
    }
    let result = match report.role == role {
        true => SendResult::Accepted,
        false if report.incarnation > first => {
            log::warn!("fleet: an engine restarted while it executed an order; it is abandoned");
            SendResult::Rejected
        }
        false => return SendResult::Busy,
    };
    taken.remove(&order_id);
    result
}
