//! Control thread: keeps settings, the vm list and load reports up to date.

mod loads;
mod settings;
mod vm_list;

use std::sync::Arc;

use crate::context::Context;
use crate::dispatch;
use crate::shared::Shared;

/// Starts all control tasks on the calling thread.
pub(crate) async fn start(shared: Arc<Shared>) {
    let context = Context::new(shared).await;
    settings::start(&context);
    vm_list::start(&context);
    loads::start(&context);
    dispatch::start(&context);
}
