/* Orders to engines: leases, wanted-state rows, convergence.
 *
 * Two placers take turns at one lease and write the wanted row in a transaction
 * that checks the lease. A lease may lapse at any moment while its holder is
 * paused and still believes that it holds it. Two sidecars of one engine, an
 * old one that is paused and its successor, converge the engine, with fencing
 * numbers from the table. The engine checks numbers or ignores them.
 *
 * Checked: a row written under a lease number is never overwritten under an
 * older one; an engine that checks numbers never obeys an older one; when
 * everything is quiet the engine is as the row wants. */
byte number = 0;  /* of the lease row */
byte written = 0; /* lease number under which the wanted row was last written */
byte want = 0;    /* the wanted row: its revision */

byte fences = 0;  /* the fence row */
bool fencing;     /* this engine checks numbers */
byte fence = 0;   /* highest that the engine has seen */
byte have = 0;    /* revision that the engine has loaded */

byte placers = 2; /* that may still act */
byte olds = 1;    /* old sidecars that may still act */

proctype placer() {
  byte mine;
  byte rounds = 0;
  do
  :: rounds < 2 -> rounds++;
     atomic { number++; mine = number }; /* any moment, the old lease counts as lapsed. go: core/scheduler Lessee.Step */
     /* paused here for as long as it takes */
#ifdef TRUST
     if /* looks whether it still holds the lease, is paused, and writes */
     :: number != mine -> goto next
     :: else
     fi;
#endif
     atomic { /* go: core/scheduler Write */
       if
#ifdef TRUST
       :: true ->
#else
       :: number == mine ->
#endif
          assert(mine >= written);
          written = mine; want++
       :: else
       fi
     }
next:
     skip
  :: rounds == 2 -> break
  od;
  placers--
}

inline order(f, revision) { /* landing in its time. go: core/generator Engine.Order */
  atomic {
    if
    :: fencing && f < fence /* refused */
    :: else ->
       assert(!fencing || f >= fence);
       if :: f > fence -> fence = f :: else fi;
       have = revision
    fi
  }
}

/* A sidecar that is paused between reading the row and giving the order. */
proctype old_sidecar() {
  byte mine;
  byte revision;
  atomic { fences++; mine = fences }; /* go: core/scheduler NextFencingToken */
  revision = want;
  order(mine, revision);
  olds--
}

/* Again and again. go: sidecar/internal/converger Converger.Step */
proctype sidecar() {
  byte mine;
  byte revision;
  bool quiet;
  atomic { fences++; mine = fences };
  do
  :: quiet = (placers + olds == 0);
     revision = want; /* go: core/scheduler ReadDesired */
     if
     :: have != revision -> order(mine, revision) /* read again in the next step */
#ifdef ONCE
     :: have == revision && placers == 0 -> break /* as wanted, and never looks again */
#else
     :: have == revision && quiet -> break
     :: have == revision && !quiet
#endif
     fi
  od;
  placers + olds == 0; /* everything is quiet */
  assert(have == want)
}

init {
  atomic {
    if :: fencing = true :: fencing = false fi;
    run placer(); run placer(); run old_sidecar()
  };
  run sidecar()
}
