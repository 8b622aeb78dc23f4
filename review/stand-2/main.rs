//! Stand-ins for the platform's store, for servers and for clients, and the cases of the review that
//! use them. It needs no libraries. All addresses are loopback addresses with free ports.
//!
//! `stand-2 CASE FOLDER` plays a case, writes FOLDER/record.txt and exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` it plays the same without
//! the disruption.

mod cases;
mod gateway;
mod record;
mod server;
mod store;
mod wire;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let mut words = std::env::args().skip(1);
    // An engine in a process of its own, which a case can kill.
    if std::env::args().nth(1).as_deref() == Some("engine") {
        exit(cases::run_engine(words.nth(1), words.next()));
    }
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: stand-2 CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    exit(cases::play(&case, &PathBuf::from(folder), has_trouble));
}
