//! Permits to send requests to cold servers and to those that have named a limit: issued by the assigner, and asked
//! for by all daemons.

use {
    crate::{
        connection::Backend,
        control::OrDash,
        process::{Shared, lock},
        version::View,
        wire::{PermitQuery, encode_compact},
    },
    oriolehoist_admission::{
        MAX_PERMIT_VALIDITY, NoPermit, Permit, PermitDemand, PermitIssuer, PermitNeed, PermitRate,
        PermitReason, PermitReply,
    },
    oriolehoist_log::{Event, report},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex, OnceLock,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::UdpSocket, sync::oneshot, time::timeout},
};

/// How long a daemon waits for an answer until it sends a query again.
const REPEAT_AFTER: Millis = Millis(80);
/// When a daemon may ask again if the issuer does not know the server, its limit or the other daemons yet.
const UNKNOWN_RETRY: Millis = Millis(250);
/// How long no queries are made after one without an answer.
const QUERY_PAUSE: Millis = Millis(250);
/// A shorter wait does not show that the issuer is silent.
const MIN_SILENCE: Millis = Millis(200);

/// What a daemon needs to issue permits, and to ask for them.
pub(crate) struct Permits {
    issuing: Mutex<PermitIssuer<SmolStr, (IpAddr, u64)>>,
    /// How many of the registered daemons ask for permits, and how many are registered.
    asking: Mutex<(usize, usize)>,
    /// The address of the daemon that issues permits, if one is known.
    issuer: Mutex<Option<IpAddr>>,
    /// For the datagrams, with the port of all daemons.
    socket: OnceLock<(Arc<UdpSocket>, u16)>,
    next_number: AtomicU64,
    /// The queries that wait for answers, with who was asked.
    queries: Mutex<HashMap<u64, (IpAddr, oneshot::Sender<PermitReply>)>>,
    /// Whether the last query got no answer.
    is_unanswered: AtomicBool,
    /// Until when no queries are made, as the last one got no answer.
    silent_until: AtomicU64,
}

impl Default for Permits {
    fn default() -> Permits {
        Permits {
            issuing: Mutex::default(),
            asking: Mutex::default(),
            issuer: Mutex::default(),
            socket: OnceLock::default(),
            // An answer to an earlier run of this daemon is not taken for one to this run.
            next_number: AtomicU64::new(fastrand::u64(..)),
            queries: Mutex::default(),
            is_unanswered: AtomicBool::default(),
            silent_until: AtomicU64::default(),
        }
    }
}

impl Permits {
    /// Sets until when this daemon may issue permits.
    pub(crate) fn set_valid_until(&self, now: Millis, valid_until: Millis) {
        lock(&self.issuing).set_valid_until(now, valid_until);
    }

    /// Sets how many of the registered daemons ask for permits. The others are left their part of each limit.
    pub(crate) fn set_asking(&self, asking: usize, registered: usize) {
        *lock(&self.asking) = (asking, registered);
    }

    /// Sets the address of the daemon that issues permits, or `None` if there is none.
    pub(crate) fn set_issuer(&self, issuer: Option<IpAddr>) {
        let before = std::mem::replace(&mut *lock(&self.issuer), issuer);
        if before != issuer {
            self.silent_until.store(0, Ordering::Relaxed);
        }
    }

    /// Returns the address of the daemon that issues permits, if one is known.
    pub(crate) fn issuer(&self) -> Option<IpAddr> {
        *lock(&self.issuer)
    }

    /// Sets the socket for queries. All daemons use the same port.
    pub(crate) fn set_socket(&self, socket: Arc<UdpSocket>, port: u16) {
        // Set once, as the process starts.
        let _ = self.socket.set((socket, port));
    }

    /// Passes an answer on to the query that it belongs to.
    pub(crate) fn on_answer(&self, from: IpAddr, number: u64, reply: PermitReply) {
        let mut queries = lock(&self.queries);
        if queries.get(&number).is_some_and(|(asked, _)| *asked == from)
            && let Some((_, sender)) = queries.remove(&number)
        {
            // Fails if the query has just ended.
            let _ = sender.send(reply);
        }
    }

    /// Returns the part of each limit that permits are issued for, or `None` if it is not known.
    fn share(&self) -> Option<f64> {
        match *lock(&self.asking) {
            (0, _) => None,
            (asking, registered) => Some(asking as f64 / registered as f64),
        }
    }
}

/// A query for a permit that counts as in flight until this value is dropped.
struct InFlightQuery<'a> {
    permits: &'a Permits,
    server: &'a Backend,
    number: u64,
}

impl<'a> InFlightQuery<'a> {
    fn new(permits: &'a Permits, server: &'a Backend) -> InFlightQuery<'a> {
        server.availability().permits.on_asked();
        let number = permits.next_number.fetch_add(1, Ordering::Relaxed);
        InFlightQuery { permits, server, number }
    }

    fn message(&self, now: Millis, rank: u32) -> PermitQuery {
        let availability = self.server.availability();
        PermitQuery {
            format: PermitQuery::FORMAT.into(),
            number: self.number,
            server: self.server.incarnation.id.clone(),
            rank,
            is_cold: matches!(availability.permit_need(now), PermitNeed::Cold(_)),
            limit: availability.rate_limit.limit(),
        }
    }
}

impl Drop for InFlightQuery<'_> {
    fn drop(&mut self) {
        lock(&self.permits.queries).remove(&self.number);
        self.server.availability().permits.on_ended();
    }
}

impl Shared {
    /// Issues a permit to send one request to a server, if this daemon may and the server can take it. `from` is
    /// the address of the daemon that asks.
    pub(crate) fn issue_permit(
        &self,
        view: &View,
        from: IpAddr,
        query: &PermitQuery,
    ) -> PermitReply {
        let now = self.clock.now();
        let known = view.backends.get(&query.server).map(|backend| {
            let availability = backend.availability();
            let warm_up = &availability.warm_up;
            let is_cold = warm_up.cold_until(now).is_some();
            (warm_up.policy(), warm_up.cold_since(), availability.rate_limit.limit(), is_cold)
        });
        let (policy, since, known_limit, is_known_cold) = known.unwrap_or_default();
        // The daemon that asks may not know it yet.
        let is_cold = query.is_cold || is_known_cold;
        let limit = query.limit.into_iter().chain(known_limit).reduce(f64::min);
        let share = self.permits.share();
        let rate = share.and_then(|share| {
            let named = limit.map(|limit| PermitRate::for_limit(limit, share));
            let cold = policy.map(|policy| PermitRate::new(policy, share));
            match is_cold {
                true => cold.map(|cold| named.map_or(cold, |named| cold.min(named))),
                false => named,
            }
        });
        let reason = match is_cold {
            true => PermitReason::Cold { since },
            false => PermitReason::Limit,
        };
        let mut issuing = lock(&self.permits.issuing);
        let reply = match rate {
            _ if !issuing.is_valid(now) => PermitReply::NotIssuer,
            Some(rate) => {
                let (server, rank) = (query.server.clone(), query.rank);
                let query = (from, query.number);
                issuing.ask(now, rate, PermitDemand { query, server, rank, reason })
            }
            None if is_cold => PermitReply::Denied(UNKNOWN_RETRY),
            None => PermitReply::NotIssuer,
        };
        self.metrics.on_permit_answered(reply_name(reply));
        reply
    }

    /// Gets a permit to send one request to a server, within `max_wait`. One that comes later is kept for the next
    /// request if the server is cold. Otherwise it is lost, as the request may have been sent without it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none.
    pub(crate) async fn obtain_permit(
        self: &Arc<Shared>,
        server: &Arc<Backend>,
        rank: u32,
        max_wait: Millis,
    ) -> Result<Permit, NoPermit> {
        if let Some(permit) = server.availability().permits.take_unused(self.clock.now()) {
            return Ok(permit);
        }
        let silent_until = Millis(self.permits.silent_until.load(Ordering::Relaxed));
        let silence = silent_until.since(self.clock.now());
        if silence > Millis::ZERO {
            return Err(NoPermit::Unanswered(silence));
        }
        let (tx, rx) = oneshot::channel();
        let (cx, server) = (Arc::clone(self), Arc::clone(server));
        let is_cold = is_cold(&server, self.clock.now());
        let query = tokio::spawn(async move {
            let permit = cx.ask_for_permit(&server, rank).await;
            if let Err(Ok(permit)) = tx.send(permit) {
                server.availability().permits.keep(permit);
            }
        });
        if let Ok(Ok(permit)) = timeout(Duration::from(max_wait), rx).await {
            return permit;
        }
        if !is_cold {
            query.abort();
        }
        if max_wait < MIN_SILENCE {
            return Err(NoPermit::Denied(UNKNOWN_RETRY));
        }
        self.pause_queries();
        Err(NoPermit::Unanswered(QUERY_PAUSE))
    }

    /// Makes no queries for a short time, for any server, as the issuer does not answer in time.
    fn pause_queries(&self) {
        let until = self.clock.now() + QUERY_PAUSE;
        self.permits.silent_until.store(until.0, Ordering::Relaxed);
    }

    async fn ask_for_permit(&self, server: &Backend, rank: u32) -> Result<Permit, NoPermit> {
        let asked_at = self.clock.now();
        let query = InFlightQuery::new(&self.permits, server);
        let reply = self.query_issuer(&query, rank).await;
        drop(query);
        let permit = server.availability().permits.on_reply(self.clock.now(), asked_at, reply);
        let end = match (reply, &permit) {
            (Some(PermitReply::Issued), Err(_)) => "late",
            (Some(reply), _) => reply_name(reply),
            (None, _) => "unanswered",
        };
        self.metrics.on_permit_query(end);
        permit
    }

    /// Returns what the issuer has replied, or `None` if it has not in time.
    async fn query_issuer(&self, query: &InFlightQuery<'_>, rank: u32) -> Option<PermitReply> {
        let now = self.clock.now();
        let message = query.message(now, rank);
        if lock(&self.permits.issuing).is_valid(now) {
            return Some(self.issue_permit(&*self.view.load()?, self.source_ip(), &message));
        }
        let issuer = self.permits.issuer().filter(|issuer| *issuer != self.source_ip());
        let Some(issuer) = issuer else { return Some(PermitReply::NotIssuer) };
        let (socket, port) = self.permits.socket.get()?;
        let bytes = encode_compact(&message).ok()?;
        let (sender, mut receiver) = oneshot::channel();
        lock(&self.permits.queries).insert(message.number, (issuer, sender));
        for wait in [REPEAT_AFTER, MAX_PERMIT_VALIDITY.since(REPEAT_AFTER)] {
            // A lost datagram is sent again.
            let _ = socket.send_to(&bytes, SocketAddr::new(issuer, *port)).await;
            if let Ok(reply) = timeout(Duration::from(wait), &mut receiver).await {
                self.report_unanswered(issuer, false);
                return reply.ok();
            }
        }
        self.pause_queries();
        self.report_unanswered(issuer, true);
        None
    }

    /// Logs whether the issuer leaves queries unanswered, if that has changed.
    fn report_unanswered(&self, issuer: IpAddr, is_unanswered: bool) {
        let before = self.permits.is_unanswered.swap(is_unanswered, Ordering::Relaxed);
        if before != is_unanswered {
            let text = format_args!("unanswered={is_unanswered} issuer={issuer}");
            report(Event::PermitsUnanswered, text);
        }
    }

    /// Returns the address of the daemon that issues permits, for the log.
    pub(crate) fn permit_issuer_text(&self) -> OrDash<IpAddr> {
        OrDash(self.permits.issuer())
    }
}

fn is_cold(server: &Backend, now: Millis) -> bool {
    matches!(server.availability().permit_need(now), PermitNeed::Cold(_))
}

fn reply_name(reply: PermitReply) -> &'static str {
    match reply {
        PermitReply::Issued => "issued",
        PermitReply::Denied(_) => "denied",
        PermitReply::NotIssuer => "refused",
    }
}
