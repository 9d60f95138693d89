//! The orders that an assigner sends to backend servers.

use {
    crate::assigner::{Assigner, Effect, ServerIndex, shard::Phase},
    oriolehoist_protocol::{Epoch, Order, OrderBody, ShardGrant},
    oriolehoist_time::Millis,
};

impl Assigner {
    /// Sends revocations for shards that are being moved, to each server at most once per renewal
    /// interval.
    pub(super) fn send_revocations(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        for index in 0..self.servers.len() {
            let server = ServerIndex(index);
            let grants = self.collect_grants(|phase| match phase {
                Phase::Revoking { from, epoch, .. } if *from == server => Some(*epoch),
                _ => None,
            });
            if grants.is_empty() || !self.servers[index].revocation_due(now, &self.timing) {
                continue;
            }
            let body = OrderBody::Revoke { grants };
            effects.push(self.order(server, body));
        }
    }

    /// Sends a renewal to each server for which one is due and allowed, and a probe to each other
    /// server that is due for an order.
    pub(super) fn send_orders(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let may_act = self.may_act(now);
        for index in 0..self.servers.len() {
            let server = ServerIndex(index);
            let entry = &self.servers[index];
            let echo = entry.echo(now, &self.timing).filter(|_| may_act && entry.is_fenced());
            if !entry.order_due(now, &self.timing, echo.is_some()) {
                continue;
            }
            let body = match echo {
                Some(echo) => OrderBody::Renew {
                    echo: echo.time,
                    incarnation: echo.incarnation,
                    length: self.timing.grant,
                    list: entry.list(),
                    grants: entry.needs_list().then(|| self.granted_to(server)),
                },
                None => OrderBody::Probe,
            };
            let is_renewal = matches!(body, OrderBody::Renew { .. });
            self.servers[index].on_order_sent(now, is_renewal, &self.timing);
            effects.push(self.order(server, body));
        }
    }

    /// Returns the full list of grants of a server, including those that are being revoked.
    fn granted_to(&self, server: ServerIndex) -> Vec<ShardGrant> {
        self.collect_grants(|phase| match phase {
            Phase::Granted { server: owner, epoch, .. }
            | Phase::Revoking { from: owner, epoch, .. }
                if *owner == server =>
            {
                Some(*epoch)
            }
            _ => None,
        })
    }

    /// Returns a grant for each shard for whose phase `epoch_of` returns an epoch.
    fn collect_grants(&self, epoch_of: impl Fn(&Phase) -> Option<Epoch>) -> Vec<ShardGrant> {
        self.shard_ids()
            .zip(&self.shards)
            .filter_map(|(shard, entry)| {
                epoch_of(entry.phase()).map(|epoch| ShardGrant { shard, epoch })
            })
            .collect()
    }

    fn order(&self, server: ServerIndex, body: OrderBody) -> Effect {
        Effect::SendOrder {
            server,
            order: Order { service: self.record.service.clone(), term: self.record.term, body },
        }
    }
}
