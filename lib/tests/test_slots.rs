//! Tests of a router's map of the owners of key slots.

use std::collections::BTreeMap;

use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::FencingNumber;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::once::KeySlot;
use snipeyoke_lib::once::SlotMap;

// Guards against approvals refused for 15 s after a planned stop, the interval at which
// other agents poll the log. The leaving agent's report with fewer slots must wake them,
// once; a slot that a newer claim already owns must not.
#[test]
fn reports_slots_released_by_an_agent() {
    let pool: PoolName = "desk".parse().expect("a name");
    let [d1, d2]: [EndpointId; 2] = ["d1", "d2"].map(|id| id.parse().expect("a name"));
    let slots: Vec<KeySlot> = KeySlot::all().take(3).collect();
    let owned = |picks: &[(usize, u64)]| -> BTreeMap<KeySlot, FencingNumber> {
        let owned = picks.iter().map(|&(n, f)| (slots[n], FencingNumber(f)));
        owned.collect()
    };
    let mut map = SlotMap::default();
    assert!(!map.report(&pool, &d1, &owned(&[(0, 1), (1, 1), (2, 1)])));
    assert!(!map.report(&pool, &d2, &owned(&[(0, 5)])));
    assert!(!map.report(&pool, &d1, &owned(&[(1, 1), (2, 1)])));
    assert!(map.report(&pool, &d1, &owned(&[(2, 1)])));
    assert!(!map.report(&pool, &d1, &owned(&[(2, 1)])));
    assert_eq!(map.owner(&pool, slots[1]), None);
    assert!(map.report(&pool, &d1, &owned(&[])));
    let first = map.owner(&pool, slots[0]).map(|o| o.endpoint.clone());
    assert_eq!(first, Some(d2));
}
