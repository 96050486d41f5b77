/* Model of the permits of one organisation on a few VMs: in any window, no more requests run than the VMs mint in it and
 * hold together unused.
 *
 * Time is a number of ticks. At each tick a VM mints RATE permits, as far as it has room; a paused VM counts the ticks and
 * mints for them when it resumes, as far as it has room. A VM keeps half of its room and leaves the other half to its
 * parent, which it changes at any time, since views are arbitrary: the former parent keeps that room until it forgets the
 * child, and only then the child may change again. Permits move in messages that are lost, late or received by a process
 * that was started meanwhile. A message may also be received after its sender has given it up. Each VM has one message
 * under way at a time.
 *
 * VMS is the number of VMs. With 2, each may be the other's parent; with 3, the first one changes between the others. With -DNEW_LIMIT, rate and room are doubled at first, and the VMs learn of the lower limit
 * one after the other. The window begins at any time. Each other macro removes one guard (see check-quotas.sh), and the model must then fail. */
#ifndef VMS
#define VMS 3
#endif
#ifndef TICKS
#define TICKS 2
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#define NOBODY VMS

byte stock[VMS];
byte missed[VMS];
bool paused[VMS];
byte parent[VMS] = NOBODY;
byte formerParent[VMS] = NOBODY;
/* Message under way from each VM. */
byte moving[VMS];
byte receiver[VMS];
bool gaveUp[VMS];
bool lowered[VMS];
byte faults = 0;

bool isOpen = false;
byte ticks = 0;
/* What may still run in the window. */
byte allowance = 0;

#if VMS == 3
#define SUM(f) (f(0) + f(1) + f(2))
#define pick(v) if :: v = 0 :: v = 1 :: v = 2 fi
#define forAll(f) f(0); f(1); f(2)
#define ARE_NEIGHBOURS(v, to) ((v) == 0 || (to) == 0)
#define HAS_PARENT(v) ((v) == 0)
#else
#define SUM(f) (f(0) + f(1))
#define pick(v) if :: v = 0 :: v = 1 fi
#define forAll(f) f(0); f(1)
#define ARE_NEIGHBOURS(v, to) true
#define HAS_PARENT(v) true
#endif

#ifdef NEW_LIMIT
#define RATE(v) (lowered[v] -> 1 : 2)
#define ALL_LOWERED (SUM(IS_LOWERED) == VMS)
#else
#define RATE(v) 1
#define ALL_LOWERED true
#endif
#define IS_LOWERED(v) (lowered[v] -> 1 : 0)
#define HAS_ROOM_OF(v, c) (parent[c] == (v) || formerParent[c] == (v))
/* A VM keeps this room, and leaves as much to its parent. */
#define UNIT(v) RATE(v)
#if VMS == 3
#define ROOM_OF_CHILDREN(v) ((HAS_ROOM_OF(v, 0) -> 1 : 0) + (HAS_ROOM_OF(v, 1) -> 1 : 0) + (HAS_ROOM_OF(v, 2) -> 1 : 0))
#else
#define ROOM_OF_CHILDREN(v) ((HAS_ROOM_OF(v, 0) -> 1 : 0) + (HAS_ROOM_OF(v, 1) -> 1 : 0))
#endif
#define ROOM(v) (UNIT(v) * (1 + (parent[v] == NOBODY -> 1 : 0) + ROOM_OF_CHILDREN(v)))
/* Permits that the VMs hold together at most: their rooms, those that former parents still count, and a message of each. */
#define HELD (3 * VMS * (ALL_LOWERED -> 1 : 2))
#define MOVING(v) moving[v]
#define HELD_BY(v) (stock[v] + moving[v])
/* An allowance that is so much beyond what could run is not told from a larger one. That is strict, and it bounds the
 * search. It covers what paused VMs may mint later. */
#define MARGIN 6

inline add(v, amount)
{
    stock[v] = stock[v] + amount;
    if
    :: stock[v] > ROOM(v) -> stock[v] = ROOM(v)
    :: else -> skip
    fi
}

/* Lets the VM start again, or for the first time. */
inline restart(v)
{
    missed[v] = 0;
    paused[v] = false;
    parent[v] = NOBODY;
#ifdef FULL_AT_START
    stock[v] = ROOM(v)
#else
    stock[v] = 0
#endif
}

/* The room of a VM may have become smaller. */
inline trim(v) { add(v, 0) }

inline tick(v)
{
    if
    :: paused[v] ->
        if
        :: missed[v] < 2 -> missed[v]++
        :: else -> skip
        fi
    :: else -> add(v, RATE(v))
    fi
}

inline boundAllowance()
{
    if
    :: allowance > SUM(HELD_BY) + MARGIN -> allowance = SUM(HELD_BY) + MARGIN
    :: else -> skip
    fi
}

/* Chosen in each step before they are used. */
hidden byte v;
hidden byte to;
hidden byte amount;

active proctype world()
{
    do
    :: atomic { !isOpen ->
           isOpen = true;
           ticks = 0;
           allowance = HELD + SUM(MOVING);
           boundAllowance() }
    :: atomic { !isOpen || ticks < TICKS ->
           if
           :: isOpen -> ticks++; allowance = allowance + SUM(RATE)
           :: else -> skip
           fi;
           forAll(tick);
           boundAllowance() }
    /* A request runs. */
    :: atomic { isOpen -> pick(v);
           if
           :: !paused[v] && stock[v] > 0 ->
               stock[v]--;
               assert(allowance > 0);
               allowance--
           :: else -> skip
           fi }
    /* Surplus moves up, or a grant moves down. */
    :: atomic { pick(v); pick(to);
           if
           :: v != to && ARE_NEIGHBOURS(v, to) && !paused[v] && stock[v] > 0 && moving[v] == 0 && !gaveUp[v] ->
               if
               :: amount = 1
               :: amount = stock[v]
               fi;
               moving[v] = amount;
               receiver[v] = to;
#ifndef SENDER_KEEPS
               stock[v] = stock[v] - amount;
#endif
               skip
           :: else -> skip
           fi }
    :: atomic { pick(v);
           if
           :: moving[v] > 0 && !paused[receiver[v]] ->
               add(receiver[v], moving[v]);
#ifdef ARRIVES_TWICE
               if
               :: moving[v] = 0
               :: skip
               fi
#else
               moving[v] = 0;
               receiver[v] = 0
#endif
           :: else -> skip
           fi }
    :: atomic { pick(v); moving[v] = 0; receiver[v] = 0; boundAllowance() }
#ifdef SENDER_TAKES_BACK
    /* The sender waits no longer, and takes the permits for lost. */
    :: atomic { pick(v);
           if
           :: moving[v] > 0 && !paused[v] && !gaveUp[v] -> gaveUp[v] = true; add(v, moving[v])
           :: else -> skip
           fi }
#endif
    /* The VM takes another one for its parent. */
    :: atomic { pick(v); pick(to);
           if
           :: v != to && HAS_PARENT(v) && !paused[v] && formerParent[v] == NOBODY && parent[v] != to ->
               formerParent[v] = parent[v];
               parent[v] = to;
               forAll(trim)
           :: else -> skip
           fi }
    :: atomic { pick(v); formerParent[v] = NOBODY; forAll(trim) }
    :: atomic { faults < FAULTS -> faults++; pick(v); paused[v] = true }
    :: atomic { pick(v);
           if
           :: paused[v] ->
               paused[v] = false;
#ifdef MINTS_FOR_PAUSE
               stock[v] = stock[v] + missed[v] * RATE(v) * VMS;
#else
               add(v, missed[v] * RATE(v));
#endif
               missed[v] = 0
           :: else -> skip
           fi }
    :: atomic { faults < FAULTS -> faults++; pick(v); restart(v); forAll(trim) }
    :: atomic { faults < FAULTS -> faults++; forAll(restart); forAll(trim) }
#ifdef NEW_LIMIT
    :: atomic { !isOpen -> pick(v);
           lowered[v] = true;
#ifndef KEEPS_OLD_STOCK
           add(v, 0);
#endif
           skip }
#endif
    od
}
