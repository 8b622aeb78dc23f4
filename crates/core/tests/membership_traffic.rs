//! Membership traffic at the fleet size that is expected in two years.

mod support_settings;

use jujubebeam_core::membership::Message;
use jujubebeam_core::peer::PeerMessage;
use support_settings::fleet::Fleet;
use support_settings::ms;

/// Allowance for the request line and headers of an exchange, its envelope, and the answer with an
/// empty envelope.
const EXCHANGE_BYTES: usize = 420;

fn encoded(message: &Message) -> usize {
    let message = PeerMessage::Membership(message.clone());
    let bytes = rmp_serde::to_vec_named(&message).expect("messages can be encoded");
    bytes.len()
}

/// Guards against traffic above 10 KB/s per vm at 360 vms, sent and received together, and against
/// heartbeats that arrive too late for vms to count as reachable.
#[test]
fn traffic_of_360_vms_stays_below_10_kilobytes_per_second() {
    const VMS: u32 = 360;
    // One heartbeat interval at this size.
    const SECONDS: usize = 18;
    let mut fleet = Fleet::new(VMS, 1, |_| {});
    fleet.measure = encoded;
    fleet.list_steps = 1000;
    fleet.run_for(ms(2000));
    for member in &mut fleet.members {
        member.sent_bytes = 0;
        member.sent_messages = 0;
    }
    fleet.run_for(ms(SECONDS as u64 * 1000));
    let now = fleet.now;
    for member in &fleet.members {
        assert_eq!(member.machine.live(now).len(), VMS as usize);
    }
    let bytes: usize = fleet.members.iter().map(|m| m.sent_bytes).sum();
    let messages: usize = fleet.members.iter().map(|m| m.sent_messages).sum();
    let per_vm = VMS as usize * SECONDS;
    let payload = bytes / per_vm;
    let overhead = messages * EXCHANGE_BYTES / per_vm;
    // Every byte is sent by one vm and received by another.
    let both_ways = 2 * (payload + overhead);
    println!("payload {payload} B/s, exchanges {overhead} B/s, both ways {both_ways} B/s per vm");
    assert!(both_ways <= 10_000, "{both_ways} B/s");
}
