import type { Member } from "@gypsumstage/domain/Member";
import { invariant } from "@gypsumstage/shared/invariant";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { startPlatform } from "../platform/startPlatform.js";
import type { FaultProxy } from "../proxy/FaultProxy.js";
import { startFaultProxy } from "../proxy/startFaultProxy.js";
import { startUpstream } from "../upstream/startUpstream.js";
import type { UpstreamStandin } from "../upstream/UpstreamStandin.js";
import type { Deployment } from "./Deployment.js";
import type { DeploymentPlan } from "./DeploymentPlan.js";
import { formatSettings } from "./formatSettings.js";
import { getAddressBehindProxy } from "./getAddressBehindProxy.js";
import { planInstances } from "./planInstances.js";
import type { PlannedInstance } from "./PlannedInstance.js";
import type { RoleName } from "./RoleName.js";
import type { RoleProcess } from "./RoleProcess.js";
import { startRole } from "./startRole.js";

const PLATFORM_PORT = 7_000;
const ENDPOINT_PORT = 9_000;
const FIRST_ENDPOINT_SUBNET = 100;
const ROLES: readonly RoleName[] = ["steer", "entry", "lookup"];
const MAX_PEERS = 3;

const startUpstreams = async (
    plan: DeploymentPlan,
): Promise<readonly { readonly standin: UpstreamStandin; readonly member: Member; }[]> => {
    const dataCentres = plan.regions.flatMap(region =>
        region.dataCentres.map(each => ({ name: each.name, region: region.name }))
    );
    const pendingUpstreams = plan.services.flatMap(service =>
        Array.from({ length: service.endpoints }, async (_none, index) => {
            const dataCentreIndex = index % dataCentres.length;
            const location = dataCentres[dataCentreIndex] ?? { name: "", region: "" };
            const hostNumber = plan.services.indexOf(service) * 64 + Math.floor(index / dataCentres.length)
                + 1;
            const name = `${service.name}-${index + 1}`;
            const host = `127.${plan.network}.${FIRST_ENDPOINT_SUBNET + dataCentreIndex}.${hostNumber}`;
            const standin = await startUpstream(name, host, ENDPOINT_PORT, service.behaviour);
            const member: Member = {
                kind: "upstream",
                name,
                launch: "l1",
                service: service.name,
                address: standin.address,
                slots: service.behaviour.slots ?? 5,
                dataCentre: location.name,
                region: location.region,
                state: "live",
            };
            return { standin, member };
        })
    );
    return Promise.all(pendingUpstreams);
};

const createInstanceMember = (instance: PlannedInstance): Member => ({
    kind: "instance",
    name: instance.name,
    launch: instance.launch,
    dataCentre: instance.dataCentre,
    region: instance.region,
    state: "live",
    entry: instance.entry,
    peer: instance.peer,
    lookup: instance.lookup,
    steer: instance.steer,
});

const startProxy = (
    plan: DeploymentPlan,
    instances: readonly PlannedInstance[],
    platform: string,
): Promise<FaultProxy> => {
    const addresses = instances.flatMap(each => [each.entry, each.peer, each.lookup, each.steer]);
    const routes = addresses.map(listenAddress => ({
        listenAddress,
        targetAddress: getAddressBehindProxy(listenAddress),
    }));
    return startFaultProxy([...routes, {
        listenAddress: `127.${plan.network}.200.2:${PLATFORM_PORT}`,
        targetAddress: platform,
    }]);
};

/**
 * Starts the stand-ins and the roles of a deployment on loopback addresses. It does not apply the intent.
 *
 * @param plan - the deployment to start
 * @returns the deployment, whose roles may not listen yet
 */
export const startDeployment = async (plan: DeploymentPlan): Promise<Deployment> => {
    const directory = mkdtempSync(join(tmpdir(), "gypsumstage-"));
    const instances = planInstances(plan);
    const platform = await startPlatform(`127.${plan.network}.200.1`, PLATFORM_PORT);
    const upstreams = await startUpstreams(plan);
    platform.setMembers([...instances.map(createInstanceMember), ...upstreams.map(each => each.member)]);
    const proxy = plan.isProxied ? await startProxy(plan, instances, platform.address) : undefined;
    const platformAddress = proxy === undefined
        ? platform.address
        : `127.${plan.network}.200.2:${PLATFORM_PORT}`;
    const getSettingsFile = (instance: PlannedInstance): string =>
        join(directory, `${instance.name}-${instance.launch}.ini`);
    const writeSettingsFile = (instance: PlannedInstance): void => {
        const peers = instances.filter(each => each.name !== instance.name).map(each => each.steer).slice(
            0,
            MAX_PEERS,
        );
        writeFileSync(
            getSettingsFile(instance),
            formatSettings(instance, platformAddress, peers, plan.isProxied),
        );
    };
    instances.forEach(writeSettingsFile);
    let roles: readonly RoleProcess[] = instances.flatMap(instance =>
        ROLES.map(role => startRole(instance, role, getSettingsFile(instance)))
    );
    const findRole = (name: string, role: RoleName): RoleProcess => {
        const found = roles.findLast(each => each.instance.name === name && each.role === role);
        invariant(found, "process-failed");
        return found;
    };
    const stop = async (): Promise<void> => {
        roles.forEach(role => role.child.kill("SIGKILL"));
        await Promise.all(roles.map(role => role.exited));
        await proxy?.stop();
        await platform.stop();
        await Promise.all(upstreams.map(each => each.standin.stop()));
        rmSync(directory, { recursive: true });
    };
    return {
        instances,
        platform,
        upstreams: upstreams.map(each => each.standin),
        proxy,
        roles: () => roles,
        findRole,
        restart: (name, role, launch) => {
            const { instance } = findRole(name, role);
            const next = { ...instance, launch: launch ?? instance.launch };
            writeSettingsFile(next);
            const started = startRole(next, role, getSettingsFile(next));
            roles = [...roles, started];
            return started;
        },
        updateMember: (name, change) => {
            platform.setMembers(
                platform.members().map(member => member.name === name ? { ...member, ...change } : member),
            );
        },
        stop,
    };
};
