//! What a daemon's own connections and requests show about its links to upstreams.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration,
};

use crate::{
    prelude::*,
    registry::InstanceId, //
};

use super::link::{
    LinkChange,
    LinkGroup,
    LinkUse,
    LossEvidence, //
};

/// Lost links that show more than the loss of single upstreams.
const COMMON_LOSS_LINKS: usize = 2;
/// Weight of a group's lost links by which the others count as lost too, unless one was heard since.
const GROUP_LOSS_WEIGHT: usize = 4;
/// How long an upstream may be silent while others of its group answer.
///
/// A sound upstream may pause for about a second.
const SINGLE_SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// How long all upstreams of a group may be silent while a request to one of them is late.
const GROUP_SILENCE_LIMIT: Duration = Duration::from_millis(250);
/// The interval between trials of a lost group, and the first one of a lost link.
const FIRST_TRIAL_PAUSE: Duration = Duration::from_millis(300);
/// The longest interval between trials of a lost link whose group is whole.
const MAX_TRIAL_PAUSE: Duration = Duration::from_millis(1_200);

#[derive(Clone, Copy, Debug)]
struct Loss {
    since: Timestamp,
    evidence: LossEvidence,
    trial_due: Timestamp,
    trial_pause: Duration,
}

#[derive(Clone, Debug)]
struct Link {
    group: LinkGroup,
    /// When anything was last received by this link; a connection counts.
    heard_at: Option<Timestamp>,
    loss: Option<Loss>,
}

/// The links of one group together.
#[derive(Clone, Debug, Default)]
struct Group {
    heard_at: Option<Timestamp>,
    lost_since: Option<Timestamp>,
    trial_due: Timestamp,
}

/// The links from one daemon to all upstreams.
#[derive(Clone, Debug, Default)]
pub struct ReachTracker {
    links: HashMap<InstanceId, Link>,
    groups: BTreeMap<LinkGroup, Group>,
    changes: Vec<LinkChange>,
    /// The number of links that are lost.
    lost_links: usize,
}

impl ReachTracker {
    /// Replaces the list of upstreams; the state of those that stay is kept.
    pub fn set_upstreams<'a>(
        &mut self,
        upstreams: impl Iterator<Item = (&'a InstanceId, LinkGroup)>,
        now: Timestamp,
    ) {
        let mut links = HashMap::new();
        for (id, group) in upstreams {
            let link = self.links.remove(id).unwrap_or_else(|| Link::new(group));
            links.insert(id.clone(), link);
        }
        self.links = links;
        self.count_lost_links();
        self.end_group_losses_without_links(now);
        let links = &self.links;
        self.groups
            .retain(|group, _| links.values().any(|link| link.group == *group));
    }

    /// Gives up the loss of groups none of whose remaining links was found lost itself.
    ///
    /// Nothing would be tried there, so the group would stay lost for ever.
    fn end_group_losses_without_links(&mut self, now: Timestamp) {
        for (group, state) in &mut self.groups {
            let mut links = self.links.values();
            if links.any(|link| link.group == *group && link.loss.is_some()) {
                continue;
            }
            if let Some(lost_since) = state.lost_since.take() {
                self.changes.push(LinkChange::GroupRegained {
                    group: group.clone(),
                    lost: now.since(lost_since),
                });
            }
        }
    }

    /// Records that bytes of an upstream arrived on an open connection.
    pub fn record_heard(&mut self, id: &InstanceId, group: &LinkGroup, now: Timestamp) {
        let link = self.link(id, group);
        link.heard_at = Some(now);
        let is_proof = link
            .loss
            .is_none_or(|loss| loss.evidence.is_refuted_by_bytes());
        if is_proof {
            self.record_whole(id, group, now);
        }
    }

    /// Records that a connection to an upstream was made.
    pub fn record_connected(&mut self, id: &InstanceId, group: &LinkGroup, now: Timestamp) {
        self.link(id, group).heard_at = Some(now);
        self.record_whole(id, group, now);
    }

    /// Records that a connection to an upstream failed or is not made yet.
    pub fn record_connect_failure(
        &mut self,
        id: &InstanceId,
        group: &LinkGroup,
        evidence: LossEvidence,
        now: Timestamp,
    ) {
        self.record_loss(id, group, evidence, now);
    }

    /// Records that nothing has come back for a request that was sent at `sent_at`; returns whether
    /// that shows the link to be lost.
    ///
    /// An upstream that alone is silent may be slow. If all upstreams of its group are, they are
    /// more likely out of reach.
    pub fn record_unanswered(
        &mut self,
        id: &InstanceId,
        group: &LinkGroup,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let heard_at = self.link(id, group).heard_at;
        if heard_at.is_some_and(|at| at > sent_at) {
            return false;
        }
        let group_heard_at = self.groups.get(group).and_then(|group| group.heard_at);
        let group_silent_since = group_heard_at.unwrap_or_default().max(sent_at);
        let is_lost = now.since(sent_at) >= SINGLE_SILENCE_LIMIT
            || now.since(group_silent_since) >= GROUP_SILENCE_LIMIT;
        if !is_lost {
            return false;
        }
        self.record_loss(id, group, LossEvidence::Unanswered, now);
        true
    }

    /// Returns how a request may be sent to an upstream.
    pub fn link_use(&self, id: &InstanceId, group: &LinkGroup) -> LinkUse {
        let link = self.links.get(id);
        let is_lost = link.is_some_and(|link| link.loss.is_some());
        if is_lost || self.is_group_lost(group) {
            return LinkUse::Relayed;
        }
        let Some(lost_since) = self.common_loss_since() else {
            return LinkUse::Direct;
        };
        let heard_at = link.and_then(|link| link.heard_at);
        match heard_at.is_some_and(|at| at >= lost_since) {
            true => LinkUse::Direct,
            false => LinkUse::DirectNew,
        }
    }

    /// Returns when anything was last received from an upstream.
    pub fn heard_at(&self, id: &InstanceId) -> Option<Timestamp> {
        self.links.get(id)?.heard_at
    }

    /// Returns whether connections have failed by this link, or by others of its lost group.
    pub fn has_failed_connection(&self, id: &InstanceId, group: &LinkGroup) -> bool {
        let has_failed = |link: &Link| {
            let loss = link.loss;
            loss.is_some_and(|loss| !loss.evidence.is_refuted_by_bytes())
        };
        if self.links.get(id).is_some_and(has_failed) {
            return true;
        }
        let mut links = self.links.values();
        self.is_group_lost(group) && links.any(|link| link.group == *group && has_failed(link))
    }

    /// Returns whether any link is lost.
    pub fn has_losses(&self) -> bool {
        self.lost_links > 0
    }

    /// Returns the groups all of whose links count as lost.
    pub fn lost_groups(&self) -> Vec<LinkGroup> {
        let lost = self
            .groups
            .iter()
            .filter(|(_, state)| state.lost_since.is_some());
        lost.map(|(group, _)| group.clone()).collect()
    }

    /// Returns upstreams to which a connection is to be tried now, at most `limit`.
    ///
    /// A lost group is tried by one of its links at a time, the one whose last trial is the
    /// longest ago. Where links are lost and nothing was heard since, a link that is not lost is
    /// tried too: it shows whether the whole group is.
    pub fn take_due_trials(&mut self, limit: usize, now: Timestamp) -> Vec<InstanceId> {
        let mut due: Vec<(Timestamp, InstanceId, LinkGroup)> = Vec::new();
        for (id, link) in &self.links {
            let Some(loss) = link.loss else {
                continue;
            };
            let is_due = match self.groups.get(&link.group) {
                Some(group) if group.lost_since.is_some() => now >= group.trial_due,
                _ => now >= loss.trial_due,
            };
            if is_due {
                due.push((loss.trial_due, id.clone(), link.group.clone()));
            }
        }
        due.sort();
        let mut trials = Vec::new();
        for (_, id, group) in due {
            if trials.len() == limit {
                break;
            }
            let is_lost = self.is_group_lost(&group);
            let state = self.groups.entry(group).or_default();
            if is_lost && now < state.trial_due {
                continue;
            }
            state.trial_due = now + FIRST_TRIAL_PAUSE;
            if let Some(loss) = self.links.get_mut(&id).and_then(|link| link.loss.as_mut()) {
                loss.trial_due = now + loss.trial_pause;
                loss.trial_pause = (loss.trial_pause * 2).min(MAX_TRIAL_PAUSE);
            }
            trials.push(id);
        }
        let left = limit - trials.len();
        trials.extend(self.take_due_checks(left, now));
        trials
    }

    /// Returns one upstream for each group that may be lost, whose own link is not.
    fn take_due_checks(&mut self, limit: usize, now: Timestamp) -> Vec<InstanceId> {
        let mut doubtful: BTreeMap<LinkGroup, Timestamp> = BTreeMap::new();
        for link in self.links.values() {
            if let Some(loss) = link.loss {
                let newest = doubtful.entry(link.group.clone()).or_default();
                *newest = loss.since.max(*newest);
            }
        }
        let mut checks = Vec::new();
        for (group, newest) in doubtful {
            let state = self.groups.entry(group.clone()).or_default();
            let is_heard = state.heard_at.is_some_and(|at| at > newest);
            if state.lost_since.is_some() || is_heard || now < state.trial_due {
                continue;
            }
            let whole = |link: &&Link| link.group == group && link.loss.is_none();
            let mut links = self.links.iter().filter(|(_, link)| whole(link));
            if let Some((id, _)) = links.next().filter(|_| checks.len() < limit) {
                state.trial_due = now + FIRST_TRIAL_PAUSE;
                checks.push(id.clone());
            }
        }
        checks
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LinkChange> {
        std::mem::take(&mut self.changes)
    }

    fn link(&mut self, id: &InstanceId, group: &LinkGroup) -> &mut Link {
        let entry = self.links.entry(id.clone());
        entry.or_insert_with(|| Link::new(group.clone()))
    }

    /// Returns whether all links of a group count as lost.
    pub fn is_group_lost(&self, group: &LinkGroup) -> bool {
        let state = self.groups.get(group);
        state.is_some_and(|state| state.lost_since.is_some())
    }

    /// Returns since when groups are lost, unless all that is lost is one link.
    fn common_loss_since(&self) -> Option<Timestamp> {
        let lost = self.groups.values().filter_map(|state| state.lost_since);
        let first = lost.min()?;
        let in_lost_group = |link: &&Link| link.loss.is_some() && self.is_group_lost(&link.group);
        let links = self.links.values().filter(in_lost_group).count();
        (links >= COMMON_LOSS_LINKS).then_some(first)
    }

    fn record_loss(
        &mut self,
        id: &InstanceId,
        group: &LinkGroup,
        evidence: LossEvidence,
        now: Timestamp,
    ) {
        let link = self.link(id, group);
        if let Some(loss) = &mut link.loss {
            loss.evidence = evidence;
            return;
        }
        link.loss = Some(Loss {
            since: now,
            evidence,
            trial_due: now + FIRST_TRIAL_PAUSE,
            trial_pause: FIRST_TRIAL_PAUSE,
        });
        let heard_at = link.heard_at;
        self.lost_links += 1;
        let silent = heard_at.map(|at| now.since(at));
        self.changes.push(LinkChange::Lost {
            id: id.clone(),
            group: group.clone(),
            evidence,
            silent,
        });
        self.update_group(group, now);
    }

    /// Counts a group as lost if enough of its links are, and none was heard since.
    fn update_group(&mut self, group: &LinkGroup, now: Timestamp) {
        if self.is_group_lost(group) {
            return;
        }
        let heard_at = self.groups.get(group).and_then(|state| state.heard_at);
        let links = self.links.values().filter(|link| link.group == *group);
        let (mut known, mut lost, mut weight) = (0, 0, 0);
        for link in links {
            known += 1;
            let is_new = |loss: &Loss| heard_at.is_none_or(|heard_at| loss.since >= heard_at);
            if let Some(loss) = link.loss.filter(is_new) {
                lost += 1;
                weight += loss.evidence.group_weight();
            }
        }
        if lost < known && weight < GROUP_LOSS_WEIGHT {
            return;
        }
        let state = self.groups.entry(group.clone()).or_default();
        state.lost_since = Some(now);
        state.trial_due = now + FIRST_TRIAL_PAUSE;
        self.changes.push(LinkChange::GroupLost {
            group: group.clone(),
            links: lost,
        });
    }

    /// Records proof that a link is whole, and with it its group.
    ///
    /// The other links of a lost group are given another chance: they were lost together.
    fn record_whole(&mut self, id: &InstanceId, group: &LinkGroup, now: Timestamp) {
        let regained = self.links.get_mut(id).and_then(|link| link.loss.take());
        if let Some(loss) = regained {
            self.lost_links -= 1;
            self.changes.push(LinkChange::Regained {
                id: id.clone(),
                group: group.clone(),
                lost: now.since(loss.since),
            });
        }
        if !self.groups.contains_key(group) {
            self.groups.insert(group.clone(), Group::default());
        }
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        state.heard_at = Some(now);
        if let Some(lost_since) = state.lost_since.take() {
            let links = self.links.values_mut();
            for link in links.filter(|link| link.group == *group) {
                link.loss = None;
            }
            self.changes.push(LinkChange::GroupRegained {
                group: group.clone(),
                lost: now.since(lost_since),
            });
            self.count_lost_links();
        }
    }

    fn count_lost_links(&mut self) {
        let lost = self.links.values().filter(|link| link.loss.is_some());
        self.lost_links = lost.count();
    }
}

impl Link {
    fn new(group: LinkGroup) -> Self {
        Self {
            group,
            heard_at: None,
            loss: None,
        }
    }
}
