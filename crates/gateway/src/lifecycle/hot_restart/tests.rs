//! Tests of the detection of another process of the same gateway by lock files.

use super::*;

/// A successor starts while its predecessor is active, and a third process while both run. Each process must detect the other until the
/// other has ended, and exactly one may be active, also while the folder cannot be used. The test takes all locks in a single process:
/// they exclude each other like locks of several processes, since each lock opens the file anew.
#[test]
fn each_process_detects_the_other_until_it_has_ended() {
    let folder = std::env::temp_dir().join(format!("weldworks-hot-restart-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("failed to create the folder");
    let step = |mut role| {
        let other =
            observe_peer(&folder, &mut role, DescriptorUsage { clients: 7, ..DescriptorUsage::default() })
                .expect("failed to use the folder");
        (role, other.map(|usage| usage.clients))
    };
    let (old, other) = step(Role::Successor(None));
    assert!(matches!(old, Role::Active(_)) && other.is_none(), "the first process found another one");
    let (new, other) = step(Role::Successor(None));
    assert!(
        matches!(new, Role::Successor(Some(_))) && other == Some(7),
        "the active process has published its usage"
    );
    let (old, other) = step(old);
    assert_eq!(other, Some(7), "the active process detects its successor");
    let (third, other) = step(Role::Successor(None));
    assert!(matches!(third, Role::Successor(None)) && other == Some(7));
    drop(old);
    let (new, other) = step(new);
    assert!(matches!(new, Role::Active(_)) && other.is_none());
    let (third, _) = step(third);
    assert!(matches!(third, Role::Successor(Some(_))));
    let (mut new, other) = step(new);
    assert_eq!(other, Some(7), "the new active process detects the third process");
    // While the folder can't be used, the active process must keep its lock, or a third process would become active as well.
    let moved_folder = folder.with_extension("moved");
    fs::rename(&folder, &moved_folder).expect("failed to move the folder away");
    assert!(observe_peer(&folder, &mut new, DescriptorUsage::default()).is_err());
    fs::rename(&moved_folder, &folder).expect("failed to move the folder back");
    assert!(
        try_lock(&folder, ACTIVE_LOCK).expect("failed to open the lock file").is_none(),
        "the lock was released"
    );
    drop((new, third));
    assert!(
        try_lock(&folder, ACTIVE_LOCK).expect("failed to open the lock file").is_some(),
        "a lock outlived the process that held it"
    );
    let _ = fs::remove_dir_all(&folder);
}
