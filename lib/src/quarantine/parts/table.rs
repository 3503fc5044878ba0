//! The table of suspected prompt parts, which the serving thread reads.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    ModelPart,
    PartId, //
};
use crate::{
    prelude::*,
    quarantine::{
        SuspectStatus,
        Suspicion, //
    },
};

/// What a request's prompt parts mean for the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartLimit {
    /// The part that decides; one of them if several do.
    pub part: PartId,
    /// The crashes that are attributed to the part, or that it may have caused.
    pub suspicion: Suspicion,
    /// Whether the request may be executed.
    pub status: SuspectStatus,
}

/// The parts that upstreams had when they crashed, but for those that others have cleared.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartTable {
    /// Parts that are quarantined together.
    culprits: Vec<(Vec<PartId>, Suspicion)>,
    /// Other parts that may have caused crashes, with the numbers of successive ones.
    suspects: BTreeMap<PartId, u32>,
    /// All parts in the table.
    parts: BTreeSet<PartId>,
    /// Parts that a model answers, so that they crash none of its engines, whatever others crash.
    sound: BTreeSet<ModelPart>,
}

impl PartTable {
    /// Returns a table of parts that are quarantined together, of other suspects, and of those that a
    /// model answers all the same.
    pub(super) fn new(
        culprits: impl Iterator<Item = (Vec<PartId>, Suspicion)>,
        suspects: impl Iterator<Item = (PartId, u32)>,
        mut sound: BTreeSet<ModelPart>,
    ) -> Self {
        let culprits: Vec<(Vec<PartId>, Suspicion)> = culprits.collect();
        let suspects: BTreeMap<PartId, u32> = suspects.collect();
        let quarantined = culprits.iter().flat_map(|(parts, _)| parts);
        let parts: BTreeSet<PartId> = quarantined.chain(suspects.keys()).copied().collect();
        sound.retain(|sound| parts.contains(&sound.part));
        Self {
            parts,
            culprits,
            suspects,
            sound,
        }
    }

    /// Returns whether no part is suspected.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns whether a part is suspected of any crash.
    pub fn contains(&self, part: PartId) -> bool {
        self.parts.contains(&part)
    }

    /// Returns the strictest limit that applies to a request with these parts; `None` if none does.
    ///
    /// A part that was present at one crash limits nothing: many are, and few cause crashes.
    pub fn limit(&self, parts: &[ModelPart], now: Timestamp) -> Option<PartLimit> {
        let parts: Vec<PartId> = parts
            .iter()
            .filter(|part| !self.sound.contains(part))
            .map(|part| part.part)
            .collect();
        let parts = parts.as_slice();
        let of_culprits = self.culprits.iter();
        let of_culprits = of_culprits
            .filter_map(|(together, suspicion)| limit_by(together, suspicion, parts, now));
        let suspects = parts.iter();
        let of_suspects = suspects.filter_map(|part| {
            let suspicion = Suspicion {
                crashes: *self.suspects.get(part)?,
                held_until: None,
            };
            let status = SuspectStatus::of(Some(&suspicion), now);
            let part = *part;
            (status == SuspectStatus::Doubtful).then_some(PartLimit {
                part,
                suspicion,
                status,
            })
        });
        of_culprits
            .chain(of_suspects)
            .max_by_key(|limit| limit.status.strictness())
    }
}

/// Returns the limit for a request with `parts` by those that are quarantined together.
///
/// A request without some of them is executed, but not retried: its answer or its crash shows
/// which of them cause crashes.
fn limit_by(
    together: &[PartId],
    suspicion: &Suspicion,
    parts: &[PartId],
    now: Timestamp,
) -> Option<PartLimit> {
    let part = *together.iter().find(|part| parts.contains(part))?;
    let has_all = together.iter().all(|part| parts.contains(part));
    let status = match has_all {
        true => SuspectStatus::of(Some(suspicion), now),
        false => SuspectStatus::Doubtful,
    };
    Some(PartLimit {
        part,
        suspicion: *suspicion,
        status,
    })
}
