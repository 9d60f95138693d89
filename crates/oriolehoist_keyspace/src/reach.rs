//! Which servers the assigner takes for lost.
//!
//! A server that does not respond to this assigner may respond to others. While most of them seem to
//! be lost, it is more likely that the assigner itself is cut off.

use {
    crate::{
        RangeAssigner, ServerIncarnation,
        server::{Server, ServerIndex},
    },
    oriolehoist_time::Millis,
};

/// How much the failures of an assigner to reach servers show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Confidence {
    /// Nothing is known of other daemons. If it fails to reach most servers, it doubts itself.
    #[default]
    Alone,
    /// The other daemons fail to reach most servers too.
    Confirmed,
}

impl RangeAssigner {
    /// Sets how much this assigner's own failures show.
    pub fn set_confidence(&mut self, confidence: Confidence) {
        self.confidence = confidence;
    }

    /// Records which servers were reached otherwise than by an order: `reached_since` returns whether
    /// a server has answered since the given time.
    pub fn on_reached(
        &mut self,
        now: Millis,
        reached_since: impl Fn(&ServerIncarnation, Millis) -> bool,
    ) {
        for server in &mut self.servers {
            if server.is_unresponsive(now)
                && reached_since(&server.incarnation, server.last_failure)
            {
                server.on_reached(now);
            }
        }
    }

    /// Returns the servers that don't respond and are still registered.
    pub fn unresponsive_servers(&self, now: Millis) -> impl Iterator<Item = &ServerIncarnation> {
        let lost = self.servers.iter().filter(move |server| {
            server.is_available() && server.address.is_some() && server.is_unresponsive(now)
        });
        lost.map(|server| &server.incarnation)
    }

    /// Updates whether this assigner fails to reach so many servers that it is probably cut off
    /// itself. It then keeps sending orders, and takes no keys from servers that don't respond.
    pub(crate) fn update_doubts(&mut self, now: Millis) {
        let available = self.servers.iter().filter(|server| server.is_available());
        let (mut failing, mut others) = (0, 0);
        for server in available {
            *(if server.is_failing(now) { &mut failing } else { &mut others }) += 1;
        }
        self.doubts_itself = match self.confidence {
            Confidence::Alone => failing > 1 && failing > others,
            Confidence::Confirmed => failing > 1 && others == 0,
        };
    }

    /// Returns whether keys may be assigned to a server.
    pub(crate) fn is_usable(&self, now: Millis, index: ServerIndex) -> bool {
        let server = self.server(index);
        server.is_available() && !self.is_given_up(now, server)
    }

    /// Returns whether orders can be sent to a server and are likely to be carried out.
    pub(crate) fn accepts_orders(&self, now: Millis, index: ServerIndex) -> bool {
        let server = self.server(index);
        server.address.is_some() && !server.has_ended() && !self.is_given_up(now, server)
    }

    fn is_given_up(&self, now: Millis, server: &Server) -> bool {
        server.is_unresponsive(now) && !self.doubts_itself
    }
}
