//! Blocks and delays links between nodes. Each node applies the faults of the links on which it
//! sends.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use hooklug_rpc::LinkFault;
use serde::Serialize;

use crate::http::{HttpClient, HttpError, HttpRequest};
use crate::{Fleet, FleetError, ProcessName};

/// Link faults of a fleet, by sender and receiver.
#[derive(Debug, Default)]
pub(crate) struct Links {
    faults: BTreeMap<Ipv4Addr, BTreeMap<IpAddr, LinkFault>>,
}

#[derive(Debug, Serialize)]
struct LinkFaultsBody<'a> {
    links: &'a BTreeMap<IpAddr, LinkFault>,
}

impl Links {
    pub(crate) fn set_cut(&mut self, from: Ipv4Addr, to: Ipv4Addr, cut: bool) {
        self.fault_mut(from, to).cut = cut;
    }

    pub(crate) fn set_delay(&mut self, from: Ipv4Addr, to: Ipv4Addr, micros: u64) {
        self.fault_mut(from, to).delay_micros = micros;
    }

    /// Unblocks all links; delays stay. Returns the senders that had a blocked link.
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

    /// The faults of all links of a sender.
    pub(crate) fn faults_from(&self, from: Ipv4Addr) -> BTreeMap<IpAddr, LinkFault> {
        self.faults.get(&from).cloned().unwrap_or_default()
    }

    fn fault_mut(&mut self, from: Ipv4Addr, to: Ipv4Addr) -> &mut LinkFault {
        self.faults.entry(from).or_default().entry(IpAddr::V4(to)).or_default()
    }
}

/// Replaces the link faults of a node.
pub(crate) async fn put_link_faults(
    http: &HttpClient,
    node: SocketAddr,
    links: &BTreeMap<IpAddr, LinkFault>,
) -> Result<(), HttpError> {
    let request = HttpRequest::json(http::Method::PUT, "/faults", &LinkFaultsBody { links });
    http.send(node, &request).await?.json::<serde_json::Value>().map(drop)
}

impl Fleet {
    /// Blocks the link between two nodes, or only the direction from `a` to `b`.
    ///
    /// # Errors
    /// When a sending node can't be reached.
    pub async fn cut(
        &self,
        a: ProcessName,
        b: ProcessName,
        one_way: bool,
    ) -> Result<(), FleetError> {
        let (first, second) = (self.plan(a)?.ip, self.plan(b)?.ip);
        {
            let links = &mut self.state().links;
            links.set_cut(first, second, true);
            if !one_way {
                links.set_cut(second, first, true);
            }
        }
        self.send_link_faults(a).await?;
        if one_way { Ok(()) } else { self.send_link_faults(b).await }
    }

    /// Isolates a node: blocks its links to all other running nodes, both ways.
    ///
    /// # Errors
    /// When a node can't be reached.
    pub async fn isolate(&self, name: ProcessName) -> Result<(), FleetError> {
        let others = self.all_names().into_iter().filter(|other| other.kind.is_node());
        for other in others.filter(|other| *other != name) {
            if self.is_running(other)? {
                self.cut(name, other, false).await?;
            }
        }
        Ok(())
    }

    /// Unblocks all links.
    ///
    /// # Errors
    /// When a running node can't be reached.
    pub async fn heal(&self) -> Result<(), FleetError> {
        let changed = self.state().links.heal();
        for name in self.all_names() {
            let plan = self.plan(name)?;
            if changed.contains(&plan.ip) && self.is_running(name)? {
                self.send_link_faults(name).await?;
            }
        }
        Ok(())
    }

    pub(crate) async fn send_link_faults(&self, name: ProcessName) -> Result<(), FleetError> {
        let plan = self.plan(name)?;
        let faults = self.state().links.faults_from(plan.ip);
        if !name.kind.is_node() || faults.is_empty() {
            return Ok(());
        }
        Ok(put_link_faults(&self.http, plan.http(), &faults).await?)
    }

    pub(crate) async fn send_zone_delays(&self) -> Result<(), FleetError> {
        let micros = self.config.topology.zone_delay_micros;
        if micros == 0 {
            return Ok(());
        }
        let nodes = self.nodes();
        for (from, from_zone) in &nodes {
            for (to, to_zone) in nodes.iter().filter(|(to, _)| to != from) {
                let delay = if from_zone == to_zone { 0 } else { micros };
                self.state().links.set_delay(*from, *to, delay);
            }
        }
        for name in self.all_names() {
            self.send_link_faults(name).await?;
        }
        Ok(())
    }

    fn nodes(&self) -> Vec<(Ipv4Addr, String)> {
        let state = self.state();
        let nodes = state.processes.values().filter(|m| m.plan.name.kind.is_node());
        nodes.map(|m| (m.plan.ip, m.plan.zone.to_string())).collect()
    }
}
