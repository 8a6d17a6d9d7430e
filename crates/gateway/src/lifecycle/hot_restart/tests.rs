//! Two processes of one gateway that find each other by lock files.

use super::*;

/// A successor starts while the process before serves, and a third while both run. Each must know of the other until that has ended,
/// and exactly one may be active, also while the folder cannot be used. Locks of one process exclude each other like those of two, as
/// each opens the file anew.
#[test]
fn each_process_sees_the_other_until_it_has_ended() {
    let folder = std::env::temp_dir().join(format!("weldworks-places-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let step = |mut role| {
        let other =
            observe_peer(&folder, &mut role, DescriptorUsage { clients: 7, ..DescriptorUsage::default() })
                .expect("the folder can be used");
        (role, other.map(|usage| usage.clients))
    };
    let (old, other) = step(Role::Successor(None));
    assert!(matches!(old, Role::Active(_)) && other.is_none(), "alone");
    let (new, other) = step(Role::Successor(None));
    assert!(matches!(new, Role::Successor(Some(_))) && other == Some(7), "it says what it has open");
    let (old, other) = step(old);
    assert_eq!(other, Some(7), "the old one sees it come");
    let (third, other) = step(Role::Successor(None));
    assert!(matches!(third, Role::Successor(None)) && other == Some(7));
    drop(old);
    let (new, other) = step(new);
    assert!(matches!(new, Role::Active(_)) && other.is_none());
    let (third, _) = step(third);
    assert!(matches!(third, Role::Successor(Some(_))));
    let (mut new, other) = step(new);
    assert_eq!(other, Some(7), "and then it sees the third");
    // The folder fails for a while: the lock is not let go, or a third process would take this one's place.
    let away = folder.with_extension("away");
    fs::rename(&folder, &away).expect("a folder that is away");
    assert!(observe_peer(&folder, &mut new, DescriptorUsage::default()).is_err());
    fs::rename(&away, &folder).expect("it is back");
    assert!(try_lock(&folder, ACTIVE_LOCK).expect("the folder").is_none(), "the lock is held still");
    drop((new, third));
    assert!(
        try_lock(&folder, ACTIVE_LOCK).expect("the folder").is_some(),
        "nothing outlives those who held it"
    );
    let _ = fs::remove_dir_all(&folder);
}
