//! Client of plain services, to which the system routes requests as it does to engines.

mod client;

pub use client::{LOAD_PATH, ServiceClient, ServiceClientConfig};
