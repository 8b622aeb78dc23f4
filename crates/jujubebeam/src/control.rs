//! Control thread: keeps settings, the vm list and load reports up to date.

pub(crate) mod authority;
pub(crate) mod fleet;
mod loads;
pub(crate) mod membership;
pub(crate) mod settings;
pub(crate) mod usage;

use std::sync::Arc;

use crate::context::Context;
use crate::shared::Shared;
use crate::{dispatch, metrics};

/// Starts all control tasks on the calling thread.
pub(crate) async fn start(shared: Arc<Shared>) {
    let context = Context::new(shared).await;
    settings::start(&context);
    membership::start(&context);
    loads::start(&context);
    authority::start(&context);
    usage::start(&context);
    fleet::start(&context);
    dispatch::start(&context);
    metrics::start(&context);
}
