//! The actions that affect connections between processes.

use {
    crate::{
        fault::Fault,
        scenario::{
            run::Runner,
            script::{Endpoint, FaultKind, Selector},
        },
    },
    std::net::IpAddr,
};

/// Number of response bytes after which a connection is closed: the head of the first response and
/// a part of its body.
const TRUNCATED_BYTES: u64 = 240;

impl Runner {
    pub(super) async fn apply_fault(
        &mut self,
        kind: FaultKind,
        from: &Endpoint,
        to: &Endpoint,
    ) -> eyre::Result<()> {
        let fault = match kind {
            FaultKind::Cut => Fault::DropAll,
            FaultKind::Silence => Fault::StallOpenConnections,
            FaultKind::Reset => Fault::Reset,
            FaultKind::SwallowRequests => Fault::DropRequests,
            FaultKind::SwallowAnswers => Fault::DropResponses,
            FaultKind::LoseAnswers => Fault::CloseOnResponse,
            FaultKind::LoseWriteAnswers => Fault::CloseOnCasResponse,
            FaultKind::TruncateAnswers => Fault::TruncateResponses(TRUNCATED_BYTES),
            FaultKind::Delay(time) => Fault::Delay(time),
        };
        let edges = self.edge_names(to).await?;
        for source in self.source_addresses(from).await? {
            for edge in &edges {
                self.cluster.network.add_fault(source, edge, fault);
            }
        }
        Ok(())
    }

    /// Returns the local addresses of the selected daemons. `None` stands for all processes.
    async fn source_addresses(&self, endpoint: &Endpoint) -> eyre::Result<Vec<Option<IpAddr>>> {
        Ok(match endpoint {
            Endpoint::Of(selector) => {
                let daemons = self.select_daemons(selector).await?;
                daemons.into_iter().map(|index| Some(self.cluster.daemon_ip(index))).collect()
            }
            _ => vec![None],
        })
    }

    async fn edge_names(&self, endpoint: &Endpoint) -> eyre::Result<Vec<String>> {
        Ok(match endpoint {
            Endpoint::Store => vec!["store".into()],
            Endpoint::List => vec!["list".into()],
            Endpoint::Everyone => Vec::new(),
            Endpoint::Of(selector) => {
                let servers = self.select_servers(selector)?.into_iter();
                let daemons = self.select_daemons(selector).await?.into_iter();
                let servers = servers.map(|index| self.cluster.servers[index].edge());
                servers.chain(daemons.map(|index| self.cluster.daemons[index].edge())).collect()
            }
        })
    }

    pub(super) async fn isolate(&mut self, selector: &Selector) -> eyre::Result<()> {
        let isolated = self.select_daemons(selector).await?;
        for (index, daemon) in self.cluster.daemons.iter().enumerate() {
            for &isolated in isolated.iter().filter(|&&isolated| isolated != index) {
                let isolated = &self.cluster.daemons[isolated];
                self.cluster.network.add_fault(Some(isolated.ip), &daemon.edge(), Fault::DropAll);
                self.cluster.network.add_fault(Some(daemon.ip), &isolated.edge(), Fault::DropAll);
            }
        }
        Ok(())
    }
}
