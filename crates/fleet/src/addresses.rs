//! Loopback addresses: each fleet claims a range `127.x.y.*` and assigns its addresses to
//! processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use crate::FleetError;

/// Port for rpc, the same at every address.
pub(crate) const RPC_PORT: u16 = 7000;
/// Port for HTTP, the same at every address.
pub(crate) const HTTP_PORT: u16 = 8000;
/// Port whose listener claims a range. Like the two others it is below the range from which the
/// system assigns ephemeral ports.
const CLAIM_PORT: u16 = 7999;
/// Host part of the address on which the claiming listener is bound.
const CLAIM_HOST: u8 = 254;
/// Host part of the address on which a running fleet accepts commands.
const COMMAND_HOST: u8 = 253;
/// Number of addresses for processes in a range.
pub(crate) const MAX_ADDRESSES: usize = 250;
/// Number of ranges tried before the claim fails.
const CLAIM_ATTEMPTS: usize = 200;

/// A range of 256 loopback addresses, claimed until this value is dropped.
#[derive(Debug)]
pub(crate) struct AddressRange {
    network: [u8; 2],
    next_host: u8,
    _claim: TcpListener,
}

impl AddressRange {
    /// Claims a random range that no other fleet on this machine uses.
    pub(crate) fn claim() -> Result<Self, FleetError> {
        for _ in 0..CLAIM_ATTEMPTS {
            // 127.0.* is left to other programs.
            let network = [rand::random_range(1..=254_u8), rand::random_range(0..=255_u8)];
            let listener = TcpListener::bind((ip(network, CLAIM_HOST), CLAIM_PORT));
            if let Ok(claim) = listener {
                return Ok(Self { network, next_host: 1, _claim: claim });
            }
        }
        Err(FleetError::NoFreeRange)
    }

    /// Assigns an address that no process of this fleet has used before.
    pub(crate) fn allocate(&mut self) -> Result<Ipv4Addr, FleetError> {
        if usize::from(self.next_host) > MAX_ADDRESSES {
            return Err(FleetError::AddressesExhausted);
        }
        let address = ip(self.network, self.next_host);
        self.next_host += 1;
        Ok(address)
    }

    /// The address on which the fleet accepts commands.
    pub(crate) fn command_address(&self) -> SocketAddr {
        http_address(ip(self.network, COMMAND_HOST))
    }
}

fn ip(network: [u8; 2], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, network[0], network[1], host)
}

/// The rpc address of a process.
pub(crate) fn rpc_address(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(ip), RPC_PORT)
}

/// The HTTP address of a process.
pub(crate) fn http_address(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(ip), HTTP_PORT)
}
