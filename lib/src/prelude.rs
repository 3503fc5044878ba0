//! Types that nearly every module imports.

pub use crate::{
    ids::{
        BootId,
        ClusterName,
        DaemonId,
        FabricDomain,
        FailureDomain,
        FencingToken,
        GroupId,
        IdempotencyKey,
        ModelName,
        PlanId,
        RequestId,
        Revision,
        ServiceName,
        TeamName,
        VmId, //
    },
    time::Timestamp,
    units::{
        Accelerators,
        BackoffTime,
        ByteCount,
        Percent,
        RatePerSecond,
        RequestRate,
        Slots,
        TokenCount, //
    },
};
