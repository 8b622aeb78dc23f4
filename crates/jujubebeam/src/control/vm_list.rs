//! Reads the platform's list of vms.

use ntex::time::{Millis, sleep};

use crate::context::Context;

const READ_INTERVAL: Millis = Millis(1000);

/// Starts reading.
pub(crate) fn start(context: &Context) {
    let context = context.clone();
    ntex::rt::spawn(async move {
        loop {
            match context.vm_list.list().await {
                Ok(list) => context.shared.set_vms(list),
                Err(e) => log::warn!("vm: the vm list was not read: {e}"),
            }
            sleep(READ_INTERVAL).await;
        }
    });
}
