//! Cuts and delays between nodes. Each node holds the faults of its own sending side.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use hooklug_rpc::LinkFault;
use serde::Serialize;

use crate::http::{Ask, HttpClient, HttpError};

/// Faults of all links of a fleet, by sender and receiver.
#[derive(Debug, Default)]
pub(crate) struct Links {
    faults: BTreeMap<Ipv4Addr, BTreeMap<IpAddr, LinkFault>>,
}

#[derive(Debug, Serialize)]
struct Body<'a> {
    links: &'a BTreeMap<IpAddr, LinkFault>,
}

impl Links {
    pub(crate) fn set_cut(&mut self, from: Ipv4Addr, to: Ipv4Addr, cut: bool) {
        self.link(from, to).cut = cut;
    }

    pub(crate) fn set_delay(&mut self, from: Ipv4Addr, to: Ipv4Addr, micros: u64) {
        self.link(from, to).delay_micros = micros;
    }

    /// Ends all cuts; delays stay. Returns the senders that had one.
    pub(crate) fn heal(&mut self) -> Vec<Ipv4Addr> {
        let mut changed = Vec::new();
        for (from, links) in &mut self.faults {
            if links.values().any(|fault| fault.cut) {
                changed.push(*from);
            }
            links.values_mut().for_each(|fault| fault.cut = false);
        }
        changed
    }

    /// What a sender has to be told.
    pub(crate) fn of(&self, from: Ipv4Addr) -> BTreeMap<IpAddr, LinkFault> {
        self.faults.get(&from).cloned().unwrap_or_default()
    }

    fn link(&mut self, from: Ipv4Addr, to: Ipv4Addr) -> &mut LinkFault {
        self.faults.entry(from).or_default().entry(IpAddr::V4(to)).or_default()
    }
}

/// Replaces the faults of a node.
pub(crate) async fn tell(
    http: &HttpClient,
    node: SocketAddr,
    links: &BTreeMap<IpAddr, LinkFault>,
) -> Result<(), HttpError> {
    let ask = Ask::json(http::Method::PUT, "/faults", &Body { links });
    http.ask(node, &ask).await?.json::<serde_json::Value>().map(drop)
}
