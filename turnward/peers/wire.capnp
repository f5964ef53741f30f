# SPDX-License-Identifier: BSD-3-Clause
# Messages between routers. One Envelope is one length-prefixed frame on a TCP
# connection; an answer carries the number of the message it answers.
@0xd4c3a1b20f9e8d77;

# Ids and digests are packed: see codec.py.
struct RunRecord {
  requestId @0 :Data;
  runId @1 :Data;
  workspace @2 :Text;
  budget @3 :Text;
  endpoint @4 :Text;
  fingerprint @5 :Data;
  reservedTokens @6 :UInt64;
  usedTokens @7 :UInt64;
  state @8 :UInt8;
  repeatable @9 :Bool;
}

struct HeldClaim {
  key @0 :Text;
  token @1 :Data;
  fingerprint @2 :Data;
  incarnation @3 :Text;
}

struct ConfigEntry {
  revision @0 :UInt64;
  body @1 :Data;
}

struct Envelope {
  number @0 :UInt64;
  incarnation @1 :Text;
  wallMs @2 :UInt64;
  counter @3 :UInt32;
  union {
    heartbeat :group {
      revision @4 :UInt64;
    }
    heartbeatAck :group {
      revision @5 :UInt64;
    }
    putRecords :group {
      records @6 :List(RunRecord);
      dropped @16 :List(Data);
    }
    recordsAck :group {
      accepted @7 :Bool;
    }
    handOver :group {
      fenced @8 :Text;
      holder @14 :Text;
    }
    handOverAck :group {
      records @9 :List(RunRecord);
      wasHolder @15 :Bool;
    }
    configAsk :group {
      after @10 :UInt64;
    }
    configDelta @11 :List(ConfigEntry);
    statusAsk :group {
      kind @12 :Text;
    }
    statusReply :group {
      body @13 :Data;
    }
    holdClaim :group {
      shard @17 :UInt16;
      epoch @18 :UInt64;
      claim @19 :HeldClaim;
    }
    holdClaimAck :group {
      outcome @20 :Text;
      standing @21 :HeldClaim;
      row @27 :Data;
    }
    releaseClaim :group {
      releasedShard @22 :UInt16;
      releasedKey @23 :Text;
      releasedToken @24 :Data;
      releasedEpoch @28 :UInt64;
    }
    moveShard :group {
      movedRow @25 :Data;
      movedClaims @26 :List(HeldClaim);
    }
  }
}
