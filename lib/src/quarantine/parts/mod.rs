//! Identification of the prompt parts that crash the upstreams which answer on them.
//!
//! Requests that differ as a whole may share parts of their prompts, and one such part may crash
//! every upstream that generates an answer on it. [`PartSpread`] records which parts upstreams had
//! when they crashed and which parts were answered since, and propagates both between daemons.
//! Each daemon attributes the crashes to parts by the same rules. [`PartTable`] is the result, by
//! which requests are admitted.

mod answers;
mod attribution;
mod id;
mod ledger;
mod spread;
mod table;

pub use id::{
    CrashId,
    ModelPart,
    PartId, //
};
pub use spread::{
    CrashReport,
    PartChange,
    PartObservation,
    PartSpread,
    PartUpdate, //
};
pub use table::{
    PartLimit,
    PartTable, //
};
