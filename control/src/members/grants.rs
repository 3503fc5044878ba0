//! A task of the leading control daemon: it grants entry daemons retries from the slack.

use cicadabend::{
    peer_api::PeerMessage,
    prelude::*,
    retry_budget::{
        GrantIssuer,
        GrantRequest, //
    },
};
use cicadabend_daemon::peers::PeerSender;

use super::events::LogEvent;

/// Grants retries while this daemon leads.
#[derive(Debug, Default)]
pub(super) struct Grants {
    /// The last term in which this daemon led, and the issuer of that term.
    ///
    /// A leader whose lease ended may regain it in the same term, and must then remember what it
    /// has granted.
    issuer: Option<(u64, GrantIssuer)>,
    is_leading: bool,
}

impl Grants {
    /// Starts a new issuer when this daemon leads in another term; `None` means that another daemon
    /// leads.
    ///
    /// `has_served` says whether any caller has been served, and hence an earlier leader may have
    /// granted retries.
    pub(super) fn update_term(&mut self, term: Option<u64>, has_served: bool, now: Timestamp) {
        self.is_leading = term.is_some();
        let issuer_term = self.issuer.as_ref().map(|(term, _)| *term);
        if let Some(term) = term.filter(|_| term != issuer_term) {
            self.issuer = Some((term, GrantIssuer::new(term, has_served, now)));
        }
    }

    /// Answers an entry daemon's request if this daemon leads.
    pub(super) fn handle_request(
        &mut self,
        from: &DaemonId,
        request: &GrantRequest,
        known_entries: usize,
        peers: &PeerSender,
        now: Timestamp,
    ) {
        let leading = self.issuer.as_mut().filter(|_| self.is_leading);
        let Some((_, issuer)) = leading else {
            return;
        };
        let update = issuer.handle_request(from, request, known_entries, now);
        peers.send(from, PeerMessage::Grants(Box::new(update)));
        for report in issuer.take_reports() {
            let most_granted = report.most_granted.iter();
            let by: Vec<String> = most_granted
                .map(|(daemon, retries)| format!("{daemon} {retries}"))
                .collect();
            LogEvent::RetriesUsedUp {
                service: report.service,
                granted: report.granted,
                limit: report.limit,
                most_granted: by.join(", "),
            }
            .emit();
        }
    }
}
