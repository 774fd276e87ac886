Feature: Membership
  Heartbeats, target assignment and digests follow the live members of each failure domain.

  Scenario: generated arrival orders, guarding against a view that goes back
    When heartbeats of 3 VMs arrive reordered and repeated in 200 generated orders
    Then the table always shows the highest sequence of the present incarnation

  Scenario: a restarted VM, guarding against two peers with one address
    When a VM restarts and late heartbeats of its earlier incarnation arrive
    Then only the new incarnation is a peer

  Scenario: a first heartbeat that arrives too late, guarding against a live VM shut out for good
    When the first heartbeat of a gone incarnation arrives after its successor was heard
    Then the successor is a peer again after the suspicion time

  Scenario: silence and draining
    When one of three peers is silent for 2 seconds and one is draining
    Then the silent one is suspected and only the third gets work

  Scenario: a VM leaves, guarding against targets that move without need
    When one of 7 VMs that share 48 targets dies
    Then each target has one owner and only the targets of the dead VM moved

  Scenario: a better owner comes and goes, guarding against targets that flap
    When the better owner of a held target is live for 1 second, gone, and live for 3 seconds
    Then the target is released only after the owner was live for 2 seconds

  Scenario: a draining VM releases everything it holds
    When a VM that holds two targets is draining
    Then it releases both and claims nothing

  Scenario: digests, guarding against traffic that grows with the number of VMs
    When digests go to 23 domains of 3 VMs for 60 seconds with a pause of 10 seconds
    Then no second has more than 46 digests, two to a domain, and every VM was reached

  Scenario: short messages of several versions, guarding against daemons that cannot talk
    When a heartbeat and a digest are encoded by this version, an older and a newer one
    Then all forms are decoded, damaged ones are refused and a digest has at most 400 bytes
