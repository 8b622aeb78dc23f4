//! Tickets: idempotency keys that name the only process run that may execute a request.

use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::{Incarnation, VmId, WorkspaceId};

const PREFIX: &str = "jt1";
const BLOCK_BYTES: usize = 64;

/// Time for which a ticket may be used for a first attempt.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(600);

/// A parsed ticket whose MAC has not been verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Vm that issued the ticket.
    pub vm: VmId,
    /// Process run that issued the ticket.
    pub incarnation: Incarnation,
    /// Serial within the process run.
    pub serial: u64,
    /// Time of issue on the issuer's monotonic clock.
    pub issued_ms: u64,
    mac: [u8; 16],
}

impl Ticket {
    /// Parses an idempotency key. Returns `None` for keys that callers chose themselves.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('-');
        if parts.next()? != PREFIX {
            return None;
        }
        let vm = VmId(parts.next()?.parse().ok()?);
        let incarnation = Incarnation(u64::from_str_radix(parts.next()?, 16).ok()?);
        let serial = u64::from_str_radix(parts.next()?, 16).ok()?;
        let issued_ms = u64::from_str_radix(parts.next()?, 16).ok()?;
        let mac = u128::from_str_radix(parts.next()?, 16).ok()?.to_be_bytes();
        parts.next().is_none().then_some(Self {
            vm,
            incarnation,
            serial,
            issued_ms,
            mac,
        })
    }

    /// Returns the time after which the ticket can no longer start a request.
    pub fn expires(&self) -> Duration {
        Duration::from_millis(self.issued_ms) + TICKET_LIFETIME
    }
}

/// Issues and verifies the tickets of one process run.
#[derive(Clone)]
pub struct TicketIssuer {
    vm: VmId,
    incarnation: Incarnation,
    secret: [u8; 32],
}

impl TicketIssuer {
    /// Creates an issuer. The secret must be random and unique to this process run.
    pub fn new(vm: VmId, incarnation: Incarnation, secret: [u8; 32]) -> Self {
        Self {
            vm,
            incarnation,
            secret,
        }
    }

    /// Issues a ticket. The serial must not have been used before in this process run.
    pub fn issue(&self, serial: u64, workspace: WorkspaceId, now: Duration) -> String {
        let issued_ms = now.as_millis() as u64;
        let mac = u128::from_be_bytes(self.mac(serial, workspace, issued_ms));
        let (vm, incarnation) = (self.vm.0, self.incarnation.0);
        format!("{PREFIX}-{vm}-{incarnation:x}-{serial:x}-{issued_ms:x}-{mac:032x}")
    }

    /// Whether this process run issued the ticket to the workspace.
    pub fn verify(&self, ticket: &Ticket, workspace: WorkspaceId) -> bool {
        let expected = self.mac(ticket.serial, workspace, ticket.issued_ms);
        let differing = expected
            .iter()
            .zip(ticket.mac)
            .fold(0, |sum, (a, b)| sum | (a ^ b));
        ticket.vm == self.vm && ticket.incarnation == self.incarnation && differing == 0
    }

    fn mac(&self, serial: u64, workspace: WorkspaceId, issued_ms: u64) -> [u8; 16] {
        let mut message = Vec::with_capacity(40);
        message.extend(self.vm.0.to_be_bytes());
        message.extend(self.incarnation.0.to_be_bytes());
        message.extend(serial.to_be_bytes());
        message.extend(workspace.0.to_be_bytes());
        message.extend(issued_ms.to_be_bytes());
        let full = hmac_sha256(&self.secret, &message);
        let mut short = [0; 16];
        short.copy_from_slice(&full[..16]);
        short
    }
}

impl std::fmt::Debug for TicketIssuer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "TicketIssuer({}, {})", self.vm, self.incarnation)
    }
}

/// HMAC of RFC 2104 with SHA-256. Keys are at most one block long.
pub fn hmac_sha256(key: &[u8], message: &[u8]) -> [u8; 32] {
    let mut inner = [0x36; BLOCK_BYTES];
    let mut outer = [0x5c; BLOCK_BYTES];
    for (i, byte) in key.iter().take(BLOCK_BYTES).enumerate() {
        inner[i] ^= byte;
        outer[i] ^= byte;
    }
    let digest = Sha256::new().chain_update(inner).chain_update(message);
    let outer = Sha256::new().chain_update(outer);
    outer.chain_update(digest.finalize()).finalize().into()
}
