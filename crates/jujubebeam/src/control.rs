//! Control thread: keeps settings, the vm list and load reports up to date.

mod loads;
pub(crate) mod membership;
pub(crate) mod settings;

use std::sync::Arc;

use crate::context::Context;
use crate::shared::Shared;

/// Starts all control tasks on the calling thread.
pub(crate) async fn start(shared: Arc<Shared>) {
    let context = Context::new(shared).await;
    settings::start(&context);
    membership::start(&context);
    loads::start(&context);
}
