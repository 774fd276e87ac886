Feature: Membership
  Heartbeats, target assignment and digests follow the live members of each failure domain.

  Scenario: heartbeats in any order never revert the view of a peer
    When heartbeats of 3 VMs arrive reordered and repeated in 200 generated orders
    Then the table always shows the highest sequence of the present incarnation

  Scenario: a restarted VM replaces its earlier incarnation
    Late heartbeats of the earlier incarnation would otherwise add a second peer with the same
    address.
    When a VM restarts and late heartbeats of its earlier incarnation arrive
    Then only the new incarnation is a peer

  Scenario: a late first heartbeat of an ended incarnation displaces a live VM only for a time
    The ended incarnation looks like a new one and replaces its successor. Without the suspicion
    time, the live VM would stay excluded.
    When the first heartbeat of an ended incarnation arrives after one of its successor
    Then the successor is a peer again after the suspicion time

  Scenario: silent and draining peers get no work
    When one of three peers is silent for 2 seconds and one is draining
    Then the silent one is suspected and only the third gets work

  Scenario: the loss of a VM moves only its own targets
    Each move of a target costs a change of holder, so targets of live VMs must stay.
    When one of 7 VMs that share 48 targets dies
    Then each target has one owner and only the targets of the dead VM moved

  Scenario: a target moves to a better owner only when that has been live for some time
    Otherwise the target moves back and forth with an owner that restarts repeatedly.
    When the better owner of a held target is live for 1 second, gone, and live for 3 seconds
    Then the target is released only after the owner was live for 2 seconds

  Scenario: a draining VM releases all its targets
    When a VM that holds two targets is draining
    Then it releases both and claims nothing

  Scenario: the number of digests does not grow with the number of VMs
    Each domain gets two digests a second, whatever the number of its VMs.
    When digests go to 23 domains of 3 VMs for 60 seconds with a pause of 10 seconds
    Then no second has more than 46 digests, two to a domain, and every VM was reached

  Scenario: messages of older and newer versions are decoded
    Daemons of different versions run at the same time during an upgrade.
    When a heartbeat and a digest are encoded by this version, an older and a newer one
    Then all forms are decoded, damaged ones are rejected and a digest has at most 400 bytes
