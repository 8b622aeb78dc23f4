//! Software versions that services have had, and where the streams of callers began.

use std::time::Duration;

use jujubebeam_core::gateway::*;

const LIFETIME: Duration = Duration::from_secs(60);
const SECOND: Duration = Duration::from_secs(1);

fn target(version: Option<&str>) -> CatalogTarget {
    CatalogTarget {
        id: "i-1".into(),
        service: "s".into(),
        address: "10.0.0.1:80".into(),
        zone: "a".into(),
        slots: 4,
        phase: TargetPhase::Ready,
        stage: None,
        is_reclaimable: false,
        born_ms: 1,
        version: version.map(str::to_owned),
    }
}

fn observe(versions: &mut SoftwareVersions, names: &[&str], now: Duration) -> bool {
    let targets: Vec<_> = names.iter().map(|name| target(Some(name))).collect();
    versions.observe(targets.iter(), now)
}

/// State of a vm that sees these versions.
fn seeing(names: &[&str], now: Duration) -> SoftwareVersions {
    let mut versions = SoftwareVersions::new(LIFETIME);
    observe(&mut versions, names, now);
    versions
}

/// What a vm that sees these versions stores.
fn stored(names: &[&str]) -> StoredVersions {
    let none = StoredVersions::default();
    seeing(names, SECOND).merge(&none, SECOND).unwrap()
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "s".into(),
        version: Some(version.into()),
    }
}

/// Ids of the streams that a vm stores.
fn ids(origins: &StreamOrigins, versions: &SoftwareVersions, now: Duration) -> Vec<String> {
    let stored = origins.to_store(versions, now);
    let mut ids: Vec<_> = stored.into_origins().map(|(id, _)| id).collect();
    ids.sort();
    ids
}

/// Guards against a stream that goes on at the only version of today, although one that has left began
/// it.
#[test]
fn a_version_that_left_counts_for_as_long_as_its_streams_go_on() {
    let mut versions = seeing(&["v1"], SECOND);
    versions.merge(&stored(&["v1"]), SECOND);
    assert_eq!(versions.only_version("s", SECOND), Some("v1"));
    assert!(observe(&mut versions, &["v1", "v2"], SECOND * 2));
    assert!(!observe(&mut versions, &["v2"], SECOND * 3));
    let last = SECOND * 3 + LIFETIME - Duration::from_millis(1);
    assert_eq!(versions.only_version("s", last), None);
    assert!(versions.is_mixed("s", last));
    assert_eq!(
        versions.only_version("s", SECOND * 3 + LIFETIME),
        Some("v2")
    );
    assert_eq!(versions.only_version("other", SECOND), None);
}

/// Guards against a vm that has just started and takes the version that it sees for the only one.
#[test]
fn versions_that_only_the_store_has_count_from_the_start_of_a_vm() {
    let start = LIFETIME * 10;
    let mut versions = seeing(&["v2"], start);
    assert_eq!(versions.only_version("s", start), None, "not read yet");
    assert_eq!(versions.merge(&stored(&["v1", "v2"]), start), None);
    assert_eq!(versions.only_version("s", start + LIFETIME / 2), None);
    let later = start + LIFETIME;
    assert_eq!(
        versions.merge(&stored(&["v1", "v2"]), later),
        Some(stored(&["v2"]))
    );
    assert_eq!(versions.only_version("s", later), Some("v2"));
}

/// Guards against two vms that add and remove a version by turns, and against a version that a vm
/// remembers although the others have removed it.
#[test]
fn a_version_that_a_vm_did_not_see_itself_is_not_stored_again() {
    let mut younger = seeing(&["v2"], SECOND);
    assert_eq!(younger.merge(&stored(&["v1", "v2"]), SECOND), None);
    assert_eq!(younger.merge(&stored(&["v2"]), SECOND * 2), None);
    assert_eq!(younger.only_version("s", SECOND * 2), Some("v2"));
}

/// Guards against versions that are lost with a store that was restored from an older copy.
#[test]
fn versions_are_stored_again_after_the_store_was_restored() {
    let mut versions = seeing(&["v1", "v2"], SECOND);
    assert_eq!(versions.merge(&stored(&["v1", "v2"]), SECOND), None);
    let wanted = versions.merge(&stored(&["v1"]), SECOND * 2);
    assert_eq!(wanted, Some(stored(&["v1", "v2"])));
    // A version that has left since counts too, until its streams have ended.
    observe(&mut versions, &["v2"], SECOND * 3);
    let wanted = versions.merge(&StoredVersions::default(), SECOND * 4);
    assert_eq!(wanted, Some(stored(&["v1", "v2"])));
}

/// Guards against an unknown version that counts as the same as another one.
#[test]
fn an_unknown_version_is_never_the_only_one() {
    let mut versions = SoftwareVersions::new(LIFETIME);
    versions.observe([target(None)].iter(), SECOND);
    versions.merge(&StoredVersions::default(), SECOND);
    assert_eq!(versions.only_version("s", SECOND), None);
    versions.observe([target(None), target(Some("v1"))].iter(), SECOND);
    assert!(versions.is_mixed("s", SECOND));
}

/// Guards against streams that other vms do not know, and against a store that gets all others.
#[test]
fn streams_are_stored_while_their_service_has_several_versions() {
    let mut versions = seeing(&["v1"], SECOND);
    let mut origins = StreamOrigins::new(LIFETIME);
    for id in ["open", "complete", "broken", "taken-up"] {
        assert!(origins.begin(id, origin("v1")));
    }
    origins.end("complete", StreamEnd::Complete, SECOND);
    origins.end("broken", StreamEnd::Broken, SECOND);
    origins.end("taken-up", StreamEnd::Broken, SECOND);
    assert!(ids(&origins, &versions, SECOND).is_empty(), "one version");
    observe(&mut versions, &["v1", "v2"], SECOND);
    assert_eq!(
        ids(&origins, &versions, SECOND),
        ["broken", "open", "taken-up"]
    );
    assert_eq!(origins.origin("complete"), Some(&origin("v1")));
    // The caller takes it up, and the stream is complete.
    assert!(origins.begin("taken-up", origin("v1")));
    origins.end("taken-up", StreamEnd::Complete, SECOND * 2);
    assert_eq!(ids(&origins, &versions, SECOND * 2), ["broken", "open"]);
    origins.evict_ended(SECOND + LIFETIME);
    assert_eq!(ids(&origins, &versions, SECOND + LIFETIME), ["open"]);
    assert_eq!(origins.origin("broken"), None);
    assert_eq!(origins.origin("taken-up"), Some(&origin("v1")));
    origins.evict_ended(SECOND * 2 + LIFETIME);
    assert_eq!(origins.origin("taken-up"), None);
}

/// Guards against memory that grows with the streams that have ended, or with the ids of callers.
#[test]
fn streams_that_have_ended_take_bounded_memory() {
    let versions = seeing(&["v1", "v2"], SECOND);
    let mut origins = StreamOrigins::new(LIFETIME);
    assert!(origins.begin("open", origin("v1")));
    for number in 0..20_000 {
        let id = format!("attempt-{number}");
        assert!(origins.begin(&id, origin("v1")));
        origins.end(&id, StreamEnd::Broken, SECOND);
    }
    assert!(ids(&origins, &versions, SECOND).len() <= 4_097);
    assert_eq!(origins.origin("open"), Some(&origin("v1")));
    assert_eq!(origins.origin("attempt-19999"), Some(&origin("v1")));
    assert!(!origins.begin(&"a".repeat(10_000), origin("v1")));
    assert!(!origins.begin("", origin("v1")));
}

/// Guards against versions that are forgotten before the streams of a slow route have ended.
#[test]
fn versions_are_kept_longer_than_the_slowest_stream_lasts() {
    let route = |kind, seconds| HostRoute {
        kind,
        timeout: SECOND * seconds,
        ..HostRoute::default()
    };
    let lifetime = |routes: &[HostRoute]| {
        let mut settings = GatewaySettings::new(1);
        settings.routes = routes.to_vec();
        stream_lifetime(&settings)
    };
    assert_eq!(
        lifetime(&[route(RequestKind::Stream, 2)]),
        MIN_STREAM_LIFETIME
    );
    let routes = [
        route(RequestKind::Stream, 100),
        route(RequestKind::Once, 1000),
    ];
    assert!(lifetime(&routes) >= SECOND * 200);
    assert!(lifetime(&routes) < SECOND * 1000);
}

/// Guards against an order that leaves the streams of a version without an engine.
#[test]
fn the_last_engine_for_answers_of_a_version_keeps_its_stage() {
    let engine = |id: &str, version: &str| CatalogTarget {
        id: id.into(),
        address: format!("10.0.0.{}:80", &id[2..]),
        stage: Some(Stage::Decode),
        ..target(Some(version))
    };
    let changed = |engines: &[(&str, &str)]| {
        let mut catalog = Catalog::default();
        let engines = engines.iter().map(|(id, version)| engine(id, version));
        catalog.update(engines.collect(), Duration::ZERO, Duration::ZERO);
        let changes = stage_changes(&catalog, "s", RolePolicy::default(), &[], SECOND);
        let ids = changes
            .iter()
            .map(|(key, _)| catalog.get(*key).unwrap().id.clone());
        ids.collect::<Vec<_>>()
    };
    let of_one = [
        ("i-1", "v1"),
        ("i-2", "v1"),
        ("i-3", "v1"),
        ("i-4", "v1"),
        ("i-5", "v1"),
    ];
    assert_eq!(changed(&of_one), ["i-5", "i-4", "i-3"]);
    let of_two = [
        ("i-1", "v1"),
        ("i-2", "v1"),
        ("i-3", "v1"),
        ("i-4", "v1"),
        ("i-5", "v2"),
    ];
    assert_eq!(changed(&of_two), ["i-4", "i-3", "i-2"]);
    let mostly_new = [("i-1", "v1"), ("i-2", "v2"), ("i-3", "v2")];
    assert_eq!(changed(&mostly_new), ["i-3"]);
    assert!(changed(&[("i-1", "v1"), ("i-2", "v2"), ("i-3", "v3")]).is_empty());
}

/// A vm that has read what the store has, and sees these versions.
fn reading(names: &[&str], stored: &StoredVersions) -> SoftwareVersions {
    let mut versions = seeing(names, SECOND);
    versions.merge(stored, SECOND);
    versions
}

/// What the store has after a service with one version got a second one.
fn released() -> StoredVersions {
    let mut vm = reading(&["v1", "v2"], &stored(&["v1"]));
    vm.merge(&stored(&["v1"]), SECOND).unwrap()
}

/// Guards against a stream that begins at a version of which the store says nothing, so that another vm
/// takes the one that it names for the only one.
#[test]
fn no_stream_begins_at_a_version_before_the_store_names_it() {
    let mut versions = reading(&["v1", "v2"], &stored(&["v1"]));
    assert!(versions.may_begin("s", "v1"));
    assert!(!versions.may_begin("s", "v2"));
    assert_eq!(versions.restricted("s"), Some(vec!["v1".to_owned()]));
    versions.set_named(released());
    assert!(!versions.may_begin("s", "v2"), "its use is not recorded");
    versions.set_recorded(versions.to_record());
    assert!(versions.may_begin("s", "v2"));
    assert_eq!(versions.restricted("s"), None);
    assert!(reading(&["v2"], &stored(&["v2"])).may_begin("s", "v2"));
    assert!(!seeing(&["v1"], SECOND).may_begin("s", "v1"), "not read");
}

/// A vm's streams as stored, if it has recorded its use of the versions of a service.
fn streams_of(key: &str, begun: &[(&str, &str)], has_recorded: bool) -> (String, StoredStreams) {
    let versions = reading(&["v1", "v2"], &released());
    let mut origins = StreamOrigins::new(LIFETIME);
    for (id, version) in begun {
        origins.begin(id, origin(version));
    }
    let streams = match has_recorded || !begun.is_empty() {
        true => origins.to_store(&versions, SECOND),
        false => StoredStreams::default(),
    };
    (key.to_owned(), streams)
}

fn reply(key: &str, begun: &[(&str, &str)], versions: &[&str]) -> StreamReply {
    let origins = begun.iter();
    StreamReply {
        key: Some(key.into()),
        origins: origins
            .map(|(id, version)| ((*id).to_owned(), origin(version)))
            .collect(),
        versions: stored(versions),
    }
}

fn replies(replies: &[StreamReply], missing: usize) -> StreamReplies {
    StreamReplies {
        replies: replies.to_vec(),
        missing,
    }
}

/// A lookup of the stream `a` by a vm with the key `own`.
const QUERY: StreamQuery<'_> = StreamQuery {
    service: "s",
    route: "shop/chat/",
    is_route_mixed: false,
    id: Some("a"),
    own_key: Some("own"),
    all_vms_record: true,
};

/// What is found for that stream.
fn found(
    vms: Vec<(String, StoredStreams)>,
    replies: &StreamReplies,
) -> Result<String, OriginUnknown> {
    let knowledge = StoredKnowledge {
        has_current_settings: true,
        versions: released(),
        vms,
    };
    let found = knowledge.origin(&QUERY, replies);
    found.map(|(origin, _)| origin.version.unwrap())
}

/// Guards against streams that are refused or joined because of what a vm has not recorded.
#[test]
fn a_stream_without_a_record_began_at_the_version_that_its_vm_may_have_used() {
    let none = StreamReplies::default();
    let old = Ok("v1".to_owned());
    assert_eq!(found(Vec::new(), &none), old, "no vm has used another one");
    assert_eq!(found(vec![streams_of("own", &[], true)], &none), old);
    let user = streams_of("x", &[("b", "v2")], true);
    let unknown = Err(OriginUnknown::NotRecorded);
    assert_eq!(found(vec![user.clone()], &none), unknown);
    let recorded = streams_of("x", &[("a", "v2")], true);
    assert_eq!(found(vec![recorded], &none), Ok("v2".to_owned()));
    let denied = replies(&[reply("x", &[], &["v1"])], 1);
    assert_eq!(found(vec![user.clone()], &denied), old, "x denies it");
    let confirmed = replies(&[reply("x", &[("a", "v2")], &["v1"])], 0);
    assert_eq!(found(vec![user.clone()], &confirmed), Ok("v2".to_owned()));
    let forgetful = StreamReply {
        key: None,
        ..reply("x", &[], &["v1"])
    };
    let forgetful = replies(&[forgetful], 0);
    assert_eq!(found(vec![user.clone()], &forgetful), unknown);
    let silent = replies(&[reply("y", &[], &["v1"])], 1);
    let unknown = Err(OriginUnknown::VmSilent);
    assert_eq!(found(vec![user], &silent), unknown, "x is silent");
}

/// Guards against streams that a vm of an earlier version began without a record, and that are taken for
/// those of the version before.
#[test]
fn nothing_follows_from_the_lack_of_a_record_beside_vms_of_an_earlier_version() {
    let knowledge = StoredKnowledge {
        has_current_settings: true,
        versions: released(),
        vms: Vec::new(),
    };
    let query = StreamQuery {
        all_vms_record: false,
        ..QUERY
    };
    let found = knowledge.origin(&query, &StreamReplies::default());
    assert_eq!(found.unwrap_err(), OriginUnknown::NotRecorded);
    let mut versions = seeing(&["v1"], SECOND);
    assert!(!versions.all_vms_record(SECOND), "the list was not read");
    versions.observe_fleet(true, SECOND);
    assert!(versions.all_vms_record(SECOND));
    versions.observe_fleet(false, SECOND * 2);
    versions.observe_fleet(true, SECOND * 3);
    let last = SECOND * 2 + LIFETIME - Duration::from_millis(1);
    assert!(!versions.all_vms_record(last), "its streams may go on");
    assert!(versions.all_vms_record(SECOND * 2 + LIFETIME));
}

/// Guards against a vm that denies a stream which it has forgotten.
#[test]
fn a_vm_that_has_forgotten_a_stream_does_not_deny_it() {
    let mut origins = StreamOrigins::new(LIFETIME);
    for number in 0..5000 {
        assert_eq!(origins.is_complete(SECOND), number <= 4096, "{number}");
        let id = number.to_string();
        origins.begin(&id, origin("v1"));
        origins.end(&id, StreamEnd::Complete, SECOND);
    }
    let later = SECOND + LIFETIME;
    origins.evict_ended(later);
    assert!(origins.is_complete(later), "all have ended long ago");
}

/// Guards against records of vms of earlier versions, which do not state what they use, being taken for
/// those of vms that use nothing.
#[test]
fn a_vm_of_an_earlier_version_may_have_used_all_versions() {
    let earlier = streams_of("x", &[], false);
    let unknown = Err(OriginUnknown::NotRecorded);
    assert_eq!(found(vec![earlier], &StreamReplies::default()), unknown);
    // Such a vm also writes the versions without the one that was the only one before.
    let knowledge = StoredKnowledge {
        has_current_settings: true,
        versions: stored(&["v1", "v2"]),
        vms: Vec::new(),
    };
    let found = knowledge.origin(&QUERY, &StreamReplies::default());
    assert_eq!(found.unwrap_err(), OriginUnknown::NotRecorded);
}

/// Guards against a vm without the store that takes what it knows itself for what all vms know.
#[test]
fn only_all_vms_together_know_the_only_version_without_the_store() {
    let only = |replies: StreamReplies| replies.confirm_only_version("s", "v1").is_some();
    assert!(!only(StreamReplies::default()), "no vm was asked");
    assert!(only(replies(&[reply("x", &[], &["v1"])], 0)));
    assert!(!only(replies(&[reply("x", &[], &["v1"])], 1)));
    assert!(!only(replies(&[reply("x", &[], &["v1", "v2"])], 0)));
}

/// Settings whose only streaming route has these services.
fn settings_with(services: &[&str]) -> GatewaySettings {
    let shares = services.iter().map(|service| ServiceShare {
        service: (*service).to_owned(),
        weight: 1,
    });
    let mut settings = GatewaySettings::new(1);
    settings.routes.push(HostRoute {
        host: "shop".into(),
        path_prefix: "/chat/".into(),
        kind: RequestKind::Stream,
        services: shares.collect(),
        ..HostRoute::default()
    });
    settings
}

/// Guards against a conclusion from the service of today, although the route has sent streams to another
/// one that still go on.
#[test]
fn a_service_that_lost_its_route_counts_for_as_long_as_its_streams_go_on() {
    let mut versions = seeing(&["v1"], SECOND);
    assert!(versions.observe_routes(&settings_with(&["s"]), SECOND));
    assert!(!versions.observe_routes(&settings_with(&["s"]), SECOND));
    assert!(!versions.is_route_mixed("shop/chat/", SECOND));
    assert!(versions.observe_routes(&settings_with(&["other"]), SECOND * 2));
    let last = SECOND * 2 + LIFETIME - Duration::from_millis(1);
    assert!(versions.is_route_mixed("shop/chat/", last));
    assert!(!versions.is_route_mixed("shop/chat/", SECOND * 2 + LIFETIME));
    // A vm that starts has it from the store, and counts it from its own start.
    let stored = versions
        .merge(&StoredVersions::default(), SECOND * 3)
        .unwrap();
    assert!(stored.is_any_mixed());
    let start = LIFETIME * 5;
    let mut younger = seeing(&["v1"], start);
    younger.observe_routes(&settings_with(&["other"]), start);
    assert_eq!(younger.merge(&stored, start), None);
    assert!(younger.is_route_mixed("shop/chat/", start + LIFETIME / 2));
    let wanted = younger.merge(&stored, start + LIFETIME).unwrap();
    assert!(!wanted.is_any_mixed());
}

/// Guards against streams that nobody has recorded when their route is moved and their vm ends.
#[test]
fn streams_of_a_mixed_route_are_stored() {
    let mut versions = seeing(&["v1"], SECOND);
    versions.observe_routes(&settings_with(&["s"]), SECOND);
    let mut origins = StreamOrigins::new(LIFETIME);
    assert!(origins.begin("a", origin("v1")));
    assert!(ids(&origins, &versions, SECOND).is_empty());
    versions.observe_routes(&settings_with(&["other"]), SECOND * 2);
    assert_eq!(ids(&origins, &versions, SECOND * 2), ["a"]);
}

/// Guards against a version that is concluded from the service that the route has now.
#[test]
fn nothing_is_concluded_of_unrecorded_streams_of_a_mixed_route() {
    let stored = StoredKnowledge {
        has_current_settings: true,
        versions: stored(&["v1"]),
        vms: Vec::new(),
    };
    let query = StreamQuery {
        is_route_mixed: true,
        ..QUERY
    };
    let unknown = stored.origin(&query, &StreamReplies::default());
    assert_eq!(unknown, Err(OriginUnknown::NotRecorded));
    let known = StreamReplies {
        replies: vec![StreamReply {
            key: None,
            origins: vec![("a".into(), origin("v1"))],
            versions: StoredVersions::default(),
        }],
        missing: 1,
    };
    let found = stored.origin(&query, &known);
    assert_eq!(found, Ok((origin("v1"), OriginSource::Vm)));
}

/// Settings with a route for each prefix and service.
fn settings_of(routes: &[(&str, &str)]) -> GatewaySettings {
    let mut settings = settings_with(&[]);
    let template = settings.routes.remove(0);
    let routes = routes.iter().map(|(prefix, service)| HostRoute {
        path_prefix: (*prefix).to_owned(),
        services: [ServiceShare {
            service: (*service).to_owned(),
            weight: 1,
        }]
        .into_iter()
        .collect(),
        ..template.clone()
    });
    settings.routes = routes.collect();
    settings
}

/// Guards against paths whose streams are concluded of the route that they match since a change.
#[test]
fn a_path_that_matches_another_route_than_before_is_mixed() {
    let short = settings_of(&[("/chat/", "s")]);
    let both = settings_of(&[("/chat/", "s"), ("/chat/x/", "other")]);
    let mut versions = seeing(&["v1"], SECOND);
    versions.observe_routes(&short, SECOND);
    versions.observe_routes(&both, SECOND * 2);
    assert!(versions.is_route_mixed("shop/chat/x/", SECOND * 2));
    assert!(!versions.is_route_mixed("shop/chat/", SECOND * 2));
    let later = SECOND * 2 + LIFETIME;
    assert!(!versions.is_route_mixed("shop/chat/x/", later));
    versions.observe_routes(&short, later);
    assert!(versions.is_route_mixed("shop/chat/", later));
    // A vm that starts after such a change compares its routes with the stored ones.
    let mut first = seeing(&["v1"], SECOND);
    first.observe_routes(&short, SECOND);
    let stored = first.merge(&StoredVersions::default(), SECOND).unwrap();
    let mut younger = seeing(&["v1"], SECOND);
    younger.observe_routes(&both, SECOND);
    younger.merge(&stored, SECOND);
    assert!(younger.is_route_mixed("shop/chat/x/", SECOND));
}

/// Guards against a split that stays, whose streams would all be stored for good.
#[test]
fn a_route_that_is_split_for_good_is_not_mixed() {
    let mut versions = seeing(&["v1"], SECOND);
    versions.observe_routes(&settings_with(&["s", "other"]), SECOND);
    assert!(!versions.is_route_mixed("shop/chat/", SECOND));
    assert!(versions.services_of_mixed_routes(SECOND).is_empty());
}

/// Guards against a vm that concludes with settings that may be older than those of other vms.
#[test]
fn nothing_is_concluded_with_settings_that_are_not_confirmed() {
    let outdated = StoredKnowledge {
        versions: stored(&["v1"]),
        vms: Vec::new(),
        has_current_settings: false,
    };
    let unknown = outdated.origin(&QUERY, &StreamReplies::default());
    assert_eq!(unknown, Err(OriginUnknown::StoreUnreadable));
    let agreeing = StreamReplies {
        replies: vec![StreamReply {
            key: None,
            origins: Vec::new(),
            versions: stored(&["v1"]),
        }],
        missing: 0,
    };
    assert!(outdated.origin(&QUERY, &agreeing).is_ok());
}
