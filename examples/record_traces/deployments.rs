use {standins::model::ClassDemand, std::time::Duration};

/// Request classes of the Kererū workshop, scaled down.
pub fn kereru_classes() -> Vec<ClassDemand> {
    vec![
        class_demand("purchase", 4, 100, 0.10, 120, 2),
        class_demand("slot-change", 3, 80, 0.05, 100, 1),
        class_demand("browse", 2, 10, 0.45, 60, 0),
        class_demand("download", 1, 5, 0.40, 300, 1),
    ]
}

/// Request classes of the room board of the Kita consortium, scaled down.
pub fn kita_classes() -> Vec<ClassDemand> {
    vec![
        class_demand("key-encoding", 3, 100, 0.15, 150, 2),
        class_demand("lookup", 2, 50, 0.25, 80, 1),
        class_demand("guide", 1, 5, 0.60, 200, 0),
    ]
}

fn class_demand(
    name: &'static str,
    rank: u8,
    weight: u32,
    capacity_share: f64,
    work_ms: u64,
    depth: u8,
) -> ClassDemand {
    ClassDemand {
        name,
        rank,
        weight,
        capacity_share,
        work: Duration::from_millis(work_ms),
        deadline: Duration::from_secs(3),
        depth,
    }
}
