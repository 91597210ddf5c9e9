#!/usr/bin/env node
import { runRole } from "@gypsumstage/shared/runRole";
import { startSteer } from "./startSteer.js";

runRole("gypsumstage-steer", startSteer);
