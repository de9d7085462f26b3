@0x9d1c7b3fe0a64d25;
# Messages between entry instances, and between relay instances. Fields are
# only ever appended, so that instances of two releases can read each other's
# messages during a rolling restart. `message.py` describes the fields.

struct PoolLoad {
  pool @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  demand @3 :Float32;
}

struct AccountLoad {
  account @0 :Text;
  demand @1 :Float32;
}

struct Leaving {
  name @0 :Text;
  incarnation @1 :UInt64;
  ageS @2 :Float32;
}

struct Heartbeat {
  name @0 :Text;
  incarnation @1 :UInt64;
  failureDomain @2 :Text;
  state @3 :Text;
  configRevision @4 :UInt64;
  listRevision @5 :UInt64;
  viewDigest @6 :UInt64;
  sequence @7 :UInt64;
  pools @8 :List(PoolLoad);
  accounts @9 :List(AccountLoad);
  leaving @10 :List(Leaving);
  limits @11 :List(UpstreamRate);
}

struct HeartbeatEcho {
  name @0 :Text;
  incarnation @1 :UInt64;
  viewDigest @2 :UInt64;
  moves @3 :UInt64;
  sequence @4 :UInt64;
}

struct FetchConfig {
  revision @0 :UInt64;
}

struct ConfigDocument {
  revision @0 :UInt64;
  document @1 :Data;
}

struct Forward {
  target @0 :Text;
  requestId @1 :Text;
  pipeline @2 :Text;
  account @3 :Text;
  key @4 :Text;
  label @5 :Text;
  payload @6 :Data;
  remainingS @7 :Float64;
}

struct Cost {
  stage @0 :Text;
  pool @1 :Text;
  cost @2 :Float64;
  attempt @3 :UInt32;
}

struct ForwardReply {
  requestId @0 :Text;
  pipeline @1 :Text;
  output @2 :Data;
  costs @3 :List(Cost);
  reason @4 :Text;
  verdict @5 :Text;
  submissionVerdict @6 :Text;
  stage @7 :Text;
  retryAfterS @8 :Float64;
  detail @9 :Text;
}

struct KeyQuery {
  key @0 :Text;
  account @1 :Text;
}

struct KeyReply {
  state @0 :Text;
  verdict @1 :Text;
  reason @2 :Text;
  owner @3 :Text;
}

struct HandedKey {
  key @0 :Text;
  fingerprint @1 :Data;
  inFlight @2 :Bool;
  outcome @3 :ForwardReply;
}

struct KeyHandover {
  name @0 :Text;
  incarnation @1 :UInt64;
  moves @2 :UInt64;
  ownedForS @3 :Float64;
  part @4 :UInt32;
  last @5 :Bool;
  entries @6 :List(HandedKey);
}

struct ListedInstance {
  name @0 :Text;
  role @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  state @4 :Text;
}

struct ListUpdate {
  revision @0 :UInt64;
  instances @1 :List(ListedInstance);
}

struct Ack {
  accepted @0 :Bool;
  detail @1 :Text;
}

struct PeerRow {
  name @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  failureDomain @3 :Text;
  state @4 :Text;
  sequence @5 :UInt64;
  documentVersion @6 :UInt64;
  linkMbps @7 :Float32;
  entriesRevision @8 :UInt64;
  evacuationsRevision @9 :UInt64;
}

struct FetchUpstreams {
  revision @0 :UInt64;
}

struct UpstreamEntry {
  name @0 :Text;
  bornMs @1 :UInt64;
  pool @2 :Text;
  address @3 :Text;
  failureDomain @4 :Text;
  slots @5 :UInt32;
  state @6 :Text;
  revision @7 :UInt64;
  coldS @8 :Float32;
}

struct FetchEvacuations {
  revision @0 :UInt64;
}

struct EvacuationList {
  revision @0 :UInt64;
  domains @1 :List(EvacuatedDomain);
}

struct EvacuatedDomain {
  name @0 :Text;
}

struct UpstreamList {
  revision @0 :UInt64;
  upstreams @1 :List(UpstreamEntry);
}

struct UpstreamLoad {
  upstream @0 :Text;
  requests @1 :UInt32;
  tokens @2 :UInt32;
  workS @3 :Float32;
  slowness @4 :Float32;
}

struct Gossip {
  sender @0 :PeerRow;
  peers @1 :List(PeerRow);
  loads @2 :List(UpstreamLoad);
  waits @3 :List(PoolWait);
  crashes @4 :List(UpstreamCrash);
  histories @5 :List(CandidateHistory);
  limits @6 :List(UpstreamRate);
  cold @7 :List(ColdUpstream);
}

struct ColdUpstream {
  upstream @0 :Text;
  bornMs @1 :UInt64;
  pool @2 :Text;
  coldS @3 :Float32;
  revision @4 :UInt64;
}

struct UpstreamRate {
  upstream @0 :Text;
  bornMs @1 :UInt64;
  perS @2 :Float64;
  ended @3 :Bool;
  ageS @4 :Float32;
}

struct PermitRequest {
  pool @0 :Text;
  upstream @1 :Text;
  bornMs @2 :UInt64;
  waitS @3 :Float64;
  limits @4 :List(UpstreamRate);
  coldPerS @5 :Float64;
  cold @6 :List(ColdUpstream);
}

struct PermitReply {
  granted @0 :Bool;
  waitS @1 :Float64;
  limits @2 :List(UpstreamRate);
  validS @3 :Float32;
}

struct CrashCandidate {
  name @0 :Text;
  position @1 :UInt16;
  answeredBefore @2 :Bool;
  crashesBefore @3 :UInt8;
}

struct UpstreamCrash {
  upstream @0 :Text;
  bornMs @1 :UInt64;
  ageS @2 :Float32;
  candidates @3 :List(CrashCandidate);
}

struct CandidateHistory {
  name @0 :Text;
  answeredAgeS @1 :Float32;
  trialAgeS @2 :Float32;
  trials @3 :UInt16;
}

struct CrashReport {
  crashes @0 :List(UpstreamCrash);
  histories @1 :List(CandidateHistory);
}

struct Trial {
  name @0 :Text;
}

struct PoolWait {
  pool @0 :Text;
  onTimeS @1 :Float32;
  wholeS @2 :Float32;
  opensInS @3 :Float32;
}

struct PieceOrder {
  segment @0 :UInt32;
  key @1 :Text;
}

struct StageSubmit {
  origin @0 :Text;
  originAddress @1 :Text;
  ticket @2 :UInt64;
  pool @3 :Text;
  request @4 :Text;
  stage @5 :UInt32;
  deadlineS @6 :Float64;
  aimS @7 :Float64;
  runS @8 :Float64;
  priority @9 :UInt32;
  failureDomain @10 :Text;
  resultBytes @11 :Float64;
  begun @12 :Bool;
  inputs @13 :List(InputHandle);
  pieces @14 :List(PieceOrder);
  fingerprint @15 :Text;
  isTrial @16 :Bool;
  homes @17 :List(HomeRegion);
  account @18 :Text;
}

struct HomeRegion {
  name @0 :Text;
}

struct InputHandle {
  handle @0 :Text;
}

struct StageAck {
  accepted @0 :Bool;
  reason @1 :Text;
  retryAfterS @2 :Float64;
  retryAfterKnown @3 :Bool;
}

struct PieceResult {
  segment @0 :UInt32;
  handle @1 :Text;
  failure @2 :Text;
  failureDomain @3 :Text;
}

struct StageDone {
  ticket @0 :UInt64;
  results @1 :List(PieceResult);
}

struct StageCancel {
  request @0 :Text;
  originAddress @1 :Text;
  ticket @2 :UInt64;
}

struct StageRelease {
  pool @0 :Text;
  handles @1 :List(InputHandle);
}

struct FetchPeers {
  sender @0 :PeerRow;
}

struct PeerList {
  peers @0 :List(PeerRow);
}

struct Envelope {
  union {
    heartbeat @0 :Heartbeat;
    heartbeatEcho @1 :HeartbeatEcho;
    fetchConfig @2 :FetchConfig;
    configDocument @3 :ConfigDocument;
    forward @4 :Forward;
    forwardReply @5 :ForwardReply;
    keyQuery @6 :KeyQuery;
    keyReply @7 :KeyReply;
    keyHandover @8 :KeyHandover;
    listUpdate @9 :ListUpdate;
    ack @10 :Ack;
    gossip @11 :Gossip;
    stageSubmit @12 :StageSubmit;
    stageAck @13 :StageAck;
    stageDone @14 :StageDone;
    stageCancel @15 :StageCancel;
    stageRelease @16 :StageRelease;
    fetchUpstreams @17 :FetchUpstreams;
    upstreamList @18 :UpstreamList;
    fetchPeers @19 :FetchPeers;
    peerList @20 :PeerList;
    trial @21 :Trial;
    crashReport @22 :CrashReport;
    permitRequest @23 :PermitRequest;
    permitReply @24 :PermitReply;
    fetchEvacuations @25 :FetchEvacuations;
    evacuationList @26 :EvacuationList;
  }
}
