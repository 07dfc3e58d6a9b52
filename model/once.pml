/* Calls that must run at most once: sidecar/internal/recorder.
 *
 * There are N attempts of one key, each in a sidecar process of its own (a
 * sidecar that restarts is the next attempt), and one row of the table service.
 * A process may stop at any step: it is killed or paused for any time, and takes
 * no more steps or takes them late. Every state of this model is the last one of
 * some run. The outcome of one write of each attempt is unknown: it takes effect
 * now, later or never, and the read that follows may fail. The table service is
 * down once, from any moment to any later one, and refuses calls meanwhile.
 *
 * Attempts differ only in their number, so they begin in its order: a run in
 * another order equals one of these with the numbers exchanged. Of the result
 * that a caller gets, the model keeps only what it checks: whether it was "not
 * run".
 *
 * Checked: the call is sent to the service at most once; an attempt that was
 * reported as not run is not sent; an answer is stored only after the call was
 * sent. */
#ifndef N
#define N 3
#endif

mtype = { absent, claimed, answered, void, waiting, sent, abandoned, ok, conflict, unknown, refused };

mtype state = absent; /* the row */
byte owner = 0;       /* number of the attempt whose claim the row holds, from 1 */
byte version = 0;
bool down = false;    /* the table service refuses calls */

byte started = 0; /* attempts that have begun */
mtype phase[N] = waiting; /* flight.phase */
bool reported_not_run[N] = false; /* the caller was told "not run" */
bool call_sent = false; /* by any attempt */

/* Writes in flight whose senders have stopped waiting. */
mtype pending_state[N] = absent;
byte pending_version[N] = 0;

#define report_not_run(i) assert(phase[i] != sent); reported_not_run[i] = true

/* The row after a write. A claim is voided by overwriting it. */
inline put(i, next) {
#ifdef DELETE
  if
  :: next == void -> state = absent; owner = 0; version = 0
  :: else -> state = next; owner = i + 1; version++
  fi
#else
  state = next; owner = i + 1; version++
#endif
}

/* Writes one row under a check of its version. go: core/storer Table.Commit */
inline commit(i, next) {
  atomic {
    if
    :: down -> result = refused
    :: !down && version == expected -> put(i, next); result = ok
    :: !down && version != expected -> result = conflict
    :: !down && may_lose && version == expected -> may_lose = false; put(i, next); result = unknown
    :: !down && may_lose -> may_lose = false; pending_state[i] = next; pending_version[i] = expected; result = unknown
    :: !down && may_lose -> may_lose = false; result = unknown
    fi
  }
}

/* go: sidecar/internal/recorder Recorder.execute */
proctype attempt(byte i) {
  byte expected = 0;
  bool may_lose = true;
  mtype result;

  atomic { started == i -> started++ };
insert: /* go: sidecar/internal/recorder Recorder.claim */
  if
  :: phase[i] == abandoned -> goto finished /* op.dropped */
  :: else
  fi;
  commit(i, claimed);
  atomic {
    if
    :: result == ok -> expected++; goto holds_claim
    :: result == conflict -> goto row_exists
    :: result == refused -> report_not_run(i); goto finished
    :: result == unknown
    fi
  };
  atomic { /* go: sidecar/internal/recorder committer.applied */
    if
    :: !down && owner == i + 1 && state == claimed -> expected = version; goto holds_claim
    :: !down && version == expected -> goto insert
    :: !down && version != expected && owner != i + 1 -> goto row_exists
    :: true -> /* the row is not readable: never run */
       if :: phase[i] == waiting -> phase[i] = abandoned :: else fi;
       report_not_run(i); goto void_claim
    fi
  };

row_exists: /* go: sidecar/internal/recorder flight.resultOfRow */
  atomic {
    if
    :: owner == i + 1 && state == claimed -> expected = version; goto holds_claim
    :: owner != i + 1 && state == void -> expected = version; goto insert
#ifdef TAKEOVER
    :: owner != i + 1 && state == claimed -> expected = version; goto insert /* its lease has expired */
#endif
    :: state == answered -> assert(call_sent); goto finished
    :: state == absent -> expected = version; goto insert
    :: else -> goto finished /* the outcome is unknown */
    fi
  };

holds_claim:
  atomic { /* the deadline is checked again; the phase leaves waiting once */
    if
    :: phase[i] == waiting -> phase[i] = sent
    :: phase[i] == waiting -> phase[i] = abandoned; report_not_run(i); goto void_claim
    :: phase[i] == abandoned -> report_not_run(i); goto void_claim
    fi;
    assert(!call_sent); /* sent at most once */
    assert(!reported_not_run[i]); /* an attempt reported as "not run" is not sent */
    call_sent = true; /* go: sidecar/internal/server Server.deliver */
    if
    :: true /* answered */
    :: goto finished /* the answer is lost */
    :: phase[i] = abandoned; call_sent = false; report_not_run(i); goto void_claim /* no byte reached the service. go: sidecar/internal/recorder Recorder.voidFirst */
    fi
  };
  commit(i, answered); /* the row stays claimed if this write is lost. go: sidecar/internal/recorder Recorder.store */
  goto finished;

void_claim: /* go: sidecar/internal/recorder Recorder.void */
  commit(i, void);
  atomic { /* go: sidecar/internal/recorder Recorder.rewrite */
    if
    :: result == unknown || result == refused -> goto void_claim
    :: result == conflict && owner == i + 1 && state == claimed -> expected = version; goto void_claim
    :: else
    fi
  };

finished:
  atomic { expected = 0; may_lose = false; result = 0 }
}

inline expire(i) {
#ifdef DENY
  atomic { started > i && !reported_not_run[i] -> report_not_run(i) };
#endif
  atomic { started > i && phase[i] == waiting -> phase[i] = abandoned; report_not_run(i) }
}

/* The deadline of a caller may pass at any moment. go: sidecar/internal/recorder flight.await */
active proctype deadlines() {
end:
  do
  :: expire(0)
  :: expire(1)
#if N > 2
  :: expire(2)
#endif
  od
}

inline apply_pending(i) {
  atomic {
    pending_state[i] != absent ->
    if
    :: pending_version[i] == version -> put(i, pending_state[i])
    :: else
    fi;
    pending_state[i] = absent; pending_version[i] = 0
  }
}

/* The table service applies writes in flight at any moment, or never, and is down once. */
active proctype table() {
  byte changes = 0;
end:
  do
  :: apply_pending(0)
  :: apply_pending(1)
#if N > 2
  :: apply_pending(2)
#endif
  :: atomic { changes < 2 -> down = !down; changes++ }
  od
}

init {
  byte i = 0;
  atomic {
    do
    :: i < N -> run attempt(i); i++
    :: i == N -> i = 0; break
    od
  }
}
