@0xbf5147bb3e7bb001;
# Messages between entries and sidecars. Each message on a connection is a Frame. Fields
# are never removed or renumbered; new ones take the next free number.

enum Role { entry @0; sidecar @1; }
enum RunState { notRun @0; ran @1; unknown @2; }

struct Hello {
  protocolVersion @0 :UInt16;
  role @1 :Role;
  instance @2 :Text;
  incarnation @3 :UInt64;
  availabilityZone @4 :Text;
  nonce @5 :Data;
  keyId @6 :Text;
  mac @7 :Data;       # Empty in the Hello of the connecting side.
}

struct Proof { keyId @0 :Text; mac @1 :Data; }

struct Submit {
  requestId @0 :Text;
  attempt @1 :UInt32;
  caller @2 :Text;
  rank @3 :UInt8;
  adapter @4 :Text;   # Empty for a plain service.
  version @5 :Text;
  path @6 :Text;
  method @7 :Text;
  body @8 :Data;
  remainingMs @9 :UInt32;
  idempotent @10 :Bool;
  ticket @11 :Text;
  bodyDigest @12 :Text;
  streamed @13 :Bool;
  traceparent @14 :Text;
}

struct Cancel { requestId @0 :Text; attempt @1 :UInt32; }

struct Chunk {
  requestId @0 :Text;
  attempt @1 :UInt32;
  sequence @2 :UInt32;
  data @3 :Data;
  status @4 :UInt16;
}

struct End {
  requestId @0 :Text;
  attempt @1 :UInt32;
  status @2 :UInt16;
  chunkCount @3 :UInt32;
  byteLength @4 :UInt64;
  digest @5 :UInt64;
  model @6 :Text;
  runState @7 :RunState;
  contentType @8 :Text;
  queuedMs @9 :UInt32;
  stalledMs @10 :UInt32;
  replayed @11 :Bool;
}

struct Refused {
  requestId @0 :Text;
  attempt @1 :UInt32;
  kind @2 :Text;      # A value of core.errors.ErrorKind.
  runState @3 :RunState;
  detail @4 :Text;
  retryAfterMs @5 :UInt32;
}

struct Resume { requestId @0 :Text; attempt @1 :UInt32; nextSequence @2 :UInt32; }

struct LoadReport {
  running @0 :List(UInt32);
  queued @1 :List(UInt32);
  batchSize @2 :UInt32;
  resident @3 :List(Text);
}

struct Heartbeat {
  sequence @0 :UInt64;
  revision @1 :UInt64;
  draining @2 :Bool;
  ticketEpoch @3 :UInt64;
  load :union { none @4 :Void; report @5 :LoadReport; }
  ahead @6 :UInt64;
  unreachable @7 :Bool;
  intervalMs @8 :UInt32; # 0 leaves the choice to the receiver.
}

struct ConfigurationRequest { since @0 :UInt64; }

struct ConfigurationDelta {
  base @0 :UInt64;
  revision @1 :UInt64;
  resources @2 :Data; # JSON array.
}

struct Permits { permits @0 :List(Text); }

struct Frame {
  union {
    hello @0 :Hello;
    proof @1 :Proof;
    submit @2 :Submit;
    cancel @3 :Cancel;
    chunk @4 :Chunk;
    end @5 :End;
    refused @6 :Refused;
    resume @7 :Resume;
    heartbeat @8 :Heartbeat;
    configurationRequest @9 :ConfigurationRequest;
    configurationDelta @10 :ConfigurationDelta;
    permitRequest @11 :UInt32;
    permitGrant @12 :Permits;
    permitReturn @13 :Permits;
  }
}
