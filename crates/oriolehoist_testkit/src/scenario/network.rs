//! Actions on the connections between processes.

use {
    crate::{
        fault::Fault,
        scenario::{
            run::Runner,
            script::{End, FaultKind, Selector},
        },
    },
    std::net::IpAddr,
};

/// of its body.
const TRUNCATED_BYTES: u64 = 240;

impl Runner {
    pub(super) async fn fault(
        &mut self,
        kind: FaultKind,
        from: &End,
        to: &End,
    ) -> eyre::Result<()> {
        let fault = match kind {
            FaultKind::Cut => Fault::DropAll,
            FaultKind::Silence => Fault::StallOpenConnections,
            FaultKind::SwallowRequests => Fault::DropRequests,
            FaultKind::SwallowAnswers => Fault::DropResponses,
            FaultKind::LoseAnswers => Fault::CloseOnResponse,
            FaultKind::LoseWriteAnswers => Fault::CloseOnCasResponse,
            FaultKind::TruncateAnswers => Fault::TruncateResponses(TRUNCATED_BYTES),
            FaultKind::Delay(by) => Fault::Delay(by),
        };
        let edges = self.edges(to).await?;
        for source in self.sources(from).await? {
            for edge in &edges {
                self.cluster.network.add_fault(source, edge, fault);
            }
        }
        Ok(())
    }

    async fn sources(&self, end: &End) -> eyre::Result<Vec<Option<IpAddr>>> {
        Ok(match end {
            End::Of(selector) => {
                let daemons = self.daemons(selector).await?;
                daemons.into_iter().map(|index| Some(self.cluster.daemon_ip(index))).collect()
            }
            _ => vec![None],
        })
    }

    async fn edges(&self, end: &End) -> eyre::Result<Vec<String>> {
        Ok(match end {
            End::Store => vec!["store".into()],
            End::List => vec!["list".into()],
            End::Everyone => Vec::new(),
            End::Of(selector) => {
                let servers = self.servers(selector)?.into_iter();
                let daemons = self.daemons(selector).await?.into_iter();
                let servers = servers.map(|index| self.cluster.servers[index].edge());
                servers.chain(daemons.map(|index| self.cluster.daemons[index].edge())).collect()
            }
        })
    }

    pub(super) async fn isolate(&mut self, selector: &Selector) -> eyre::Result<()> {
        let isolated = self.daemons(selector).await?;
        for (index, daemon) in self.cluster.daemons.iter().enumerate() {
            for &lone in isolated.iter().filter(|&&lone| lone != index) {
                let lone = &self.cluster.daemons[lone];
                self.cluster.network.add_fault(Some(lone.ip), &daemon.edge(), Fault::DropAll);
                self.cluster.network.add_fault(Some(daemon.ip), &lone.edge(), Fault::DropAll);
            }
        }
        Ok(())
    }
}
